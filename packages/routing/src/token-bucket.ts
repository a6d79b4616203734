/** A token bucket that may go into debt. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

const MS_PER_SECOND = 1000;
// Sums of floating-point amounts may miss a whole unit by this much.
const ROUNDING = 1e-6;

/** A bucket that fills at a rate up to a capacity, and lends to the request that empties it. */
export class TokenBucket {
  readonly #clock: Clock;

  #rate: number;

  #capacity: number;

  #level: number;

  #readAt: MonoTime;

  /**
   * @param clock - the clock
   * @param rate - units a second
   * @param capacity - the most that the bucket holds; it starts full
   */
  constructor(clock: Clock, rate: number, capacity: number) {
    this.#clock = clock;
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#readAt = clock.mono();
  }

  /**
   * Changes the rate and the capacity from now on.
   *
   * @param rate - units a second
   * @param capacity - the most that the bucket holds
   */
  resize(rate: number, capacity: number): void {
    this.#accrue();
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /** Fills the bucket up to its capacity. */
  fill(): void {
    this.#level = this.#capacity;
    this.#readAt = this.#clock.mono();
  }

  /** Units in the bucket; below zero while it is in debt. */
  get level(): number {
    this.#accrue();
    return this.#level;
  }

  /**
   * Tells how long it takes until the bucket holds an amount.
   *
   * @param amount - the units, at most the capacity
   * @returns milliseconds; zero when it holds them now
   */
  waitFor(amount: number): Millis {
    const missing = Math.min(amount, this.#capacity) - this.level;
    return missing <= ROUNDING ? 0 : (missing / this.#rate) * MS_PER_SECOND;
  }

  /**
   * Takes units, into debt if need be.
   *
   * @param amount - the units; a negative amount gives units back
   */
  take(amount: number): void {
    this.#accrue();
    this.#level = Math.min(this.#capacity, this.#level - amount);
  }

  #accrue(): void {
    const now = this.#clock.mono();
    const gained = ((now - this.#readAt) / MS_PER_SECOND) * this.#rate;
    this.#level = Math.min(this.#capacity, this.#level + gained);
    this.#readAt = now;
  }
}
