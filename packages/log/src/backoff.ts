/** Delays between retries: exponential backoff with random jitter. */
import type { Millis, RandomSource } from '@hibiscushill/base';

const DEFAULT_INITIAL_MS = 50;
const DEFAULT_MAX_MS = 2_000;

/** The range of the upper bound from which a backoff draws its delays. */
export interface BackoffOptions {
  /** The upper bound of the first delay, in milliseconds. */
  readonly initialMs?: Millis;
  /** The upper bound after repeated failures, in milliseconds. */
  readonly maxMs?: Millis;
}

/** Exponential backoff with full jitter: the upper bound of the random delay doubles each time. */
export class Backoff {
  readonly #random: RandomSource;

  readonly #initialMs: Millis;

  readonly #maxMs: Millis;

  #upperBoundMs: Millis;

  /**
   * @param random - draws the delays
   * @param options - the initial and the maximum upper bound, in milliseconds
   */
  constructor(random: RandomSource, options: BackoffOptions = {}) {
    this.#random = random;
    this.#initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.#maxMs = options.maxMs ?? DEFAULT_MAX_MS;
    this.#upperBoundMs = this.#initialMs;
  }

  /**
   * Draws the next delay and doubles the upper bound, up to its maximum.
   *
   * @param minMs - the delay that the server asked for, in milliseconds; the jitter is added to it
   * @returns the delay in milliseconds
   */
  next(minMs: Millis = 0): Millis {
    const jitterMs = 1 + Math.floor(this.#random.fraction() * this.#upperBoundMs);
    this.#upperBoundMs = Math.min(this.#upperBoundMs * 2, this.#maxMs);
    return minMs + jitterMs;
  }

  /** Resets the upper bound to its initial value, after a success. */
  reset(): void {
    this.#upperBoundMs = this.#initialMs;
  }
}
