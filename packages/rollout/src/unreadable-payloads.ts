/** Tracks payloads that could not be read from the agents that keep them. */
import type { Clock, Failure, Metrics, Millis, MonoTime } from '@hibiscushill/base';

const MAX_UNREADABLE_MS: Millis = 10_000;

/** Decides whether an unreadable payload is lost or its agent is only temporarily unreachable. */
export class UnreadablePayloads {
  readonly #clock: Clock;

  readonly #metrics: Metrics;

  /** By sample number, when reading first failed since it last succeeded. */
  readonly #firstFailureAt = new Map<number, MonoTime>();

  /**
   * @param clock - measures how long a payload has been unreadable
   * @param metrics - counts retries and lost payloads
   */
  constructor(clock: Clock, metrics: Metrics) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Resets the failures of a payload that has been read. */
  onRead(number: number): void {
    this.#firstFailureAt.delete(number);
  }

  /**
   * Records that a payload could not be read.
   *
   * @param number - the sample's number
   * @param failure - why reading failed
   * @returns true if the payload is lost: the failure says so, or reading has failed for more than
   *   10 s
   */
  onReadFailed(number: number, failure: Failure): boolean {
    const isGone = failure.code === 'incarnation_stale' || failure.code === 'answer_broken';
    const now = this.#clock.mono();
    const firstFailureAt = this.#firstFailureAt.get(number) ?? now;
    if (isGone || now - firstFailureAt > MAX_UNREADABLE_MS) {
      this.#firstFailureAt.delete(number);
      this.#metrics.count('rollout.payload_lost');
      return true;
    }
    this.#firstFailureAt.set(number, firstFailureAt);
    this.#metrics.countRetry(failure.code);
    return false;
  }
}
