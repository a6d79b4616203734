/** A rate of events, smoothed over time. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

const MS_PER_SECOND = 1000;

/** Measures amounts a second with exponential decay. */
export class DemandMeter {
  readonly #clock: Clock;

  readonly #windowMs: Millis;

  #amount = 0;

  #readAt: MonoTime;

  /**
   * @param clock - the clock
   * @param windowMs - the time constant of the decay, in milliseconds
   */
  constructor(clock: Clock, windowMs: Millis) {
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#readAt = clock.mono();
  }

  /**
   * Counts an amount at the present time.
   *
   * @param amount - how much
   */
  add(amount: number): void {
    this.#decay();
    this.#amount += amount;
  }

  /** The amount a second. */
  get rate(): number {
    this.#decay();
    return (this.#amount / this.#windowMs) * MS_PER_SECOND;
  }

  #decay(): void {
    const now = this.#clock.mono();
    this.#amount *= Math.exp(-(now - this.#readAt) / this.#windowMs);
    this.#readAt = now;
  }
}
