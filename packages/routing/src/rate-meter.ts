/** An exponentially smoothed rate. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

const MS_PER_SECOND = 1000;

/** Measures an amount per second with exponential decay. */
export class RateMeter {
  readonly #clock: Clock;

  readonly #timeConstantMs: Millis;

  #decayedAmount = 0;

  #updatedAt: MonoTime;

  /**
   * @param clock - the clock
   * @param timeConstantMs - the time in which an amount decays to 1/e, in milliseconds
   */
  constructor(clock: Clock, timeConstantMs: Millis) {
    this.#clock = clock;
    this.#timeConstantMs = timeConstantMs;
    this.#updatedAt = clock.mono();
  }

  /**
   * Adds an amount at the current time.
   *
   * @param amount - the amount
   */
  add(amount: number): void {
    this.#decay();
    this.#decayedAmount += amount;
  }

  /** The smoothed amount per second. */
  get rate(): number {
    this.#decay();
    return (this.#decayedAmount / this.#timeConstantMs) * MS_PER_SECOND;
  }

  #decay(): void {
    const now = this.#clock.mono();
    this.#decayedAmount *= Math.exp(-(now - this.#updatedAt) / this.#timeConstantMs);
    this.#updatedAt = now;
  }
}
