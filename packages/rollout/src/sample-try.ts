/** One try of a sample at one target. */
import type { MonoTime, TargetId } from '@hibiscushill/base';

import { SegmentCollector, type TokenRun } from './segments';

/** A try that is running, and the tokens it has given. */
export class SampleTry {
  readonly startedAt: MonoTime;

  readonly progress: SegmentCollector;

  /** How many tokens it was given to go on from. */
  readonly from: number;

  readonly #controller = new AbortController();

  #target: TargetId | undefined;

  /**
   * @param startedAt - when it began
   * @param resume - the tokens to go on from
   */
  constructor(startedAt: MonoTime, resume?: TokenRun) {
    this.startedAt = startedAt;
    this.from = resume?.tokens.length ?? 0;
    this.progress = new SegmentCollector(resume ? { resume } : {});
  }

  /** Aborts when the try is no longer wanted. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** The target that was chosen, once it is. */
  get target(): TargetId | undefined {
    return this.#target;
  }

  /** Notes which target was chosen. */
  choose(target: TargetId): void {
    this.#target = target;
  }

  /** Cancels the try. */
  cancel(): void {
    this.#controller.abort();
  }
}
