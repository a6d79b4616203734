/** A token bucket that may go into debt. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

const MS_PER_SECOND = 1000;
// Sums of floating-point amounts may miss a whole unit by this much.
const FLOAT_TOLERANCE = 1e-6;

/**
 * A bucket that fills at a constant rate up to a capacity. Its level may fall below zero, so that
 * a request which costs more than the capacity can be charged as well.
 */
export class TokenBucket {
  readonly #clock: Clock;

  #ratePerSecond: number;

  #capacity: number;

  #level: number;

  #updatedAt: MonoTime;

  /**
   * @param clock - the clock
   * @param ratePerSecond - the units added each second
   * @param capacity - the most units that the bucket holds; it starts full
   */
  constructor(clock: Clock, ratePerSecond: number, capacity: number) {
    this.#clock = clock;
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#updatedAt = clock.mono();
  }

  /**
   * Changes the rate and the capacity from now on. Units above the new capacity are lost.
   *
   * @param ratePerSecond - the units added each second
   * @param capacity - the most units that the bucket holds
   */
  resize(ratePerSecond: number, capacity: number): void {
    this.#accrue();
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /** Fills the bucket up to its capacity. */
  fill(): void {
    this.#level = this.#capacity;
    this.#updatedAt = this.#clock.mono();
  }

  /** The units in the bucket; negative while it is in debt. */
  get level(): number {
    this.#accrue();
    return this.#level;
  }

  /**
   * Computes the time until the bucket holds an amount.
   *
   * @param amount - the units; more than the capacity counts as the capacity
   * @returns milliseconds; zero when the bucket holds the amount now
   */
  msUntilAvailable(amount: number): Millis {
    const missing = Math.min(amount, this.#capacity) - this.level;
    return missing <= FLOAT_TOLERANCE ? 0 : (missing / this.#ratePerSecond) * MS_PER_SECOND;
  }

  /**
   * Takes units, if necessary into debt.
   *
   * @param amount - the units; a negative amount returns units up to the capacity
   */
  take(amount: number): void {
    this.#accrue();
    this.#level = Math.min(this.#capacity, this.#level - amount);
  }

  #accrue(): void {
    const now = this.#clock.mono();
    const accrued = ((now - this.#updatedAt) / MS_PER_SECOND) * this.#ratePerSecond;
    this.#level = Math.min(this.#capacity, this.#level + accrued);
    this.#updatedAt = now;
  }
}
