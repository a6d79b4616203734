/** Waiting times between tries, rising and spread at random. */
import type { Millis, RandomSource } from '@hibiscushill/base';

const FIRST_MS = 50;
const MOST_MS = 2_000;

/** The bounds of a back-off. */
export interface BackoffOptions {
  readonly firstMs?: Millis;
  readonly mostMs?: Millis;
}

/** Exponential back-off with full jitter. */
export class Backoff {
  readonly #random: RandomSource;

  readonly #firstMs: Millis;

  readonly #mostMs: Millis;

  #ceilingMs: Millis;

  /**
   * @param random - spreads the waits
   * @param options - the first ceiling and the highest, in milliseconds
   */
  constructor(random: RandomSource, options: BackoffOptions = {}) {
    this.#random = random;
    this.#firstMs = options.firstMs ?? FIRST_MS;
    this.#mostMs = options.mostMs ?? MOST_MS;
    this.#ceilingMs = this.#firstMs;
  }

  /**
   * Draws the next wait and raises the ceiling.
   *
   * @param atLeastMs - what the other side asked for, in milliseconds
   * @returns the wait in milliseconds
   */
  next(atLeastMs: Millis = 0): Millis {
    const spread = 1 + Math.floor(this.#random.fraction() * this.#ceilingMs);
    this.#ceilingMs = Math.min(this.#ceilingMs * 2, this.#mostMs);
    return atLeastMs + spread;
  }

  /** Starts again from the first ceiling. */
  reset(): void {
    this.#ceilingMs = this.#firstMs;
  }
}
