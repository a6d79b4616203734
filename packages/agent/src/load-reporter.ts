/** Reports the target's load to the entries whenever it changes. */
import type { Load } from '@hibiscushill/protocol';

import type { AdmissionController } from './admission-controller';
import type { WeightOrderHandler } from './weight-order-handler';
import type { WorkQueue } from './work-queue';

/** The sources of the load, and its receiver. */
export interface LoadReporterOptions {
  readonly workQueue: WorkQueue;
  readonly admission: AdmissionController;
  readonly weights: WeightOrderHandler;
  /** Sends a load to every entry. */
  readonly broadcast: (load: Load) => void;
}

/** Reports the target's load. */
export class LoadReporter {
  readonly #options: LoadReporterOptions;

  #isScheduled = false;

  #lastSent = '';

  /** @param options - the sources of the load, and its receiver */
  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Reports at the end of this turn of the event loop, so that its changes are sent together. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.report();
    });
  }

  /** Reports now. An unchanged load is not sent, since heartbeats show that the agent is alive. */
  report(): void {
    const load = this.readLoad();
    const text = JSON.stringify(load);
    if (text === this.#lastSent) return;
    this.#lastSent = text;
    this.#options.broadcast(load);
  }

  /**
   * Reads the current load.
   *
   * @returns the load
   */
  readLoad(): Load {
    const { workQueue, admission, weights } = this.#options;
    return {
      running: workQueue.running,
      queued: workQueue.queued,
      queuedTokens: workQueue.queuedTokens,
      slots: workQueue.slots,
      served: workQueue.served,
      leaving: admission.isLeaving,
      ready: admission.isReady,
      weights: weights.versions,
    };
  }
}
