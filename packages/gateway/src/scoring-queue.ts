/** The scoring calls of one route that wait until a target has room for them. */
import type { Clock } from '@hibiscushill/base';

/** A scoring call that waits. */
export interface WaitingCall {
  /** Whether its result is no longer needed. */
  readonly isStopped: () => boolean;
  /** Sends the call, before it returns. */
  readonly start: () => void;
}

// How often it is checked whether a target has room again.
const CHECK_INTERVAL_MS = 20;

/**
 * Starts scoring calls in the order of arrival, each once a target has room for it. The outputs of a
 * step end in bursts: calls that wait here don't fill the targets' own queues, in which callers'
 * requests would wait behind them.
 */
export class ScoringQueue {
  readonly #clock: Clock;

  readonly #hasRoom: () => boolean;

  readonly #waiting: WaitingCall[] = [];

  #isCheckScheduled = false;

  /**
   * @param clock - times the checks
   * @param hasRoom - tells whether a target can take a further call now
   */
  constructor(clock: Clock, hasRoom: () => boolean) {
    this.#clock = clock;
    this.#hasRoom = hasRoom;
  }

  /** How many calls wait. */
  get size(): number {
    return this.#waiting.length;
  }

  add(call: WaitingCall): void {
    this.#waiting.push(call);
    this.startCalls();
  }

  /** Starts the calls for which there is room; called whenever a call has ended. */
  startCalls(): void {
    for (;;) {
      const [next] = this.#waiting;
      if (!next) return;
      if (!next.isStopped() && !this.#hasRoom()) break;
      this.#waiting.shift();
      next.start();
    }
    if (!this.#isCheckScheduled) void this.#checkLater();
  }

  async #checkLater(): Promise<void> {
    this.#isCheckScheduled = true;
    await this.#clock.sleep(CHECK_INTERVAL_MS);
    this.#isCheckScheduled = false;
    this.startCalls();
  }
}
