/** One attempt to generate a sample at one target. */
import type { MonoTime, TargetId } from '@hibiscushill/base';

import { SegmentCollector, type LabelledTokens } from './segments';

/** Holds a running attempt's start, its target, and the tokens received so far. */
export class SampleAttempt {
  readonly startedAt: MonoTime;

  readonly collector: SegmentCollector;

  /** How many tokens of earlier attempts this one continues; zero if it starts from the prompt. */
  readonly resumedTokenCount: number;

  readonly #controller = new AbortController();

  #target: TargetId | undefined;

  /**
   * @param startedAt - when the attempt started
   * @param resume - the tokens of earlier attempts that it continues
   */
  constructor(startedAt: MonoTime, resume?: LabelledTokens) {
    this.startedAt = startedAt;
    this.resumedTokenCount = resume?.tokens.length ?? 0;
    this.collector = new SegmentCollector(resume ? { resume } : {});
  }

  /** Aborts when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** The chosen target, or undefined until one is chosen. */
  get target(): TargetId | undefined {
    return this.#target;
  }

  /** Sets the chosen target. */
  setTarget(target: TargetId): void {
    this.#target = target;
  }

  /** Cancels the attempt. */
  cancel(): void {
    this.#controller.abort();
  }
}
