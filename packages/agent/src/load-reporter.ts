/** Tells entries of the target's load, when it changes. */
import type { Load } from '@hibiscushill/protocol';

import type { Gate } from './gate';
import type { WeightDesk } from './weight-desk';
import type { WorkQueue } from './work-queue';

/** What a load is read from, and where it goes. */
export interface LoadReporterOptions {
  readonly work: WorkQueue;
  readonly gate: Gate;
  readonly weights: WeightDesk;
  /** Sends a load to every entry. */
  readonly broadcast: (load: Load) => void;
}

/** Reports the load. */
export class LoadReporter {
  readonly #options: LoadReporterOptions;

  #isDue = false;

  #last = '';

  /** @param options - what the load is read from */
  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Reports soon; the changes of one turn of the event loop go out as one. */
  schedule(): void {
    if (this.#isDue) return;
    this.#isDue = true;
    setImmediate(() => {
      this.#isDue = false;
      this.report();
    });
  }

  /** Reports now. Heartbeats show that the agent lives, so an unchanged load is not sent. */
  report(): void {
    const load = this.create();
    const text = JSON.stringify(load);
    if (text === this.#last) return;
    this.#last = text;
    this.#options.broadcast(load);
  }

  /**
   * Reads the load.
   *
   * @returns the load at this moment
   */
  create(): Load {
    const { work, gate, weights } = this.#options;
    return {
      running: work.running,
      queued: work.queued,
      queuedTokens: work.queuedTokens,
      slots: work.slots,
      served: work.served,
      leaving: gate.isLeaving,
      ready: gate.isReady,
      weights: weights.versions,
    };
  }
}
