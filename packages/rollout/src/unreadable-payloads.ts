/** Payloads that could not be read again from their agents. */
import type { Clock, Failure, Metrics, Millis, MonoTime } from '@hibiscushill/base';

const UNREADABLE_MS: Millis = 10_000;

/** Tells a payload that is gone from one whose agent is out of reach for a while. */
export class UnreadablePayloads {
  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #since = new Map<number, MonoTime>();

  /**
   * @param clock - measures how long an agent has been out of reach
   * @param metrics - counts the retries
   */
  constructor(clock: Clock, metrics: Metrics) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Notes that a payload was read. */
  read(number: number): void {
    this.#since.delete(number);
  }

  /**
   * Notes that a payload could not be read.
   *
   * @param number - the sample's number
   * @param failure - why
   * @returns whether the payload counts as gone
   */
  isLost(number: number, failure: Failure): boolean {
    const isGone = failure.code === 'incarnation_stale' || failure.code === 'answer_broken';
    const now = this.#clock.mono();
    const since = this.#since.get(number) ?? now;
    if (isGone || now - since > UNREADABLE_MS) {
      this.#since.delete(number);
      this.#metrics.count('rollout.payload_lost');
      return true;
    }
    this.#since.set(number, since);
    this.#metrics.countRetry(failure.code);
    return false;
  }
}
