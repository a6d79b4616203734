/** Latency quantiles over the recent past. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

const BUCKETS_PER_DOUBLING = 8;
const BUCKET_COUNT = 200;
const LEAST_MS = 0.1;

/** Counts latencies in logarithmic buckets of the present and the last window. */
export class LatencyWindow {
  readonly #clock: Clock;

  readonly #windowMs: Millis;

  #present = new Float64Array(BUCKET_COUNT);

  #last = new Float64Array(BUCKET_COUNT);

  #presentCount = 0;

  #lastCount = 0;

  #startedAt: MonoTime;

  /**
   * @param clock - the clock
   * @param windowMs - the length of a window, in milliseconds
   */
  constructor(clock: Clock, windowMs: Millis) {
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#startedAt = clock.mono();
  }

  /**
   * Records a latency.
   *
   * @param ms - the latency in milliseconds
   */
  record(ms: Millis): void {
    this.#rotate();
    const index = bucketOf(ms);
    this.#present[index] = (this.#present[index] ?? 0) + 1;
    this.#presentCount += 1;
  }

  /** How many latencies the two windows hold. */
  get count(): number {
    this.#rotate();
    return this.#presentCount + this.#lastCount;
  }

  /**
   * Reads a quantile.
   *
   * @param fraction - the quantile, from 0 to 1
   * @returns the upper end of its bucket in milliseconds; zero without any latency
   */
  quantile(fraction: number): Millis {
    const wanted = this.count * fraction;
    if (wanted === 0) return 0;
    let seen = 0;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      seen += (this.#present[index] ?? 0) + (this.#last[index] ?? 0);
      if (seen >= wanted) return LEAST_MS * 2 ** (index / BUCKETS_PER_DOUBLING);
    }
    return LEAST_MS * 2 ** (BUCKET_COUNT / BUCKETS_PER_DOUBLING);
  }

  #rotate(): void {
    const now = this.#clock.mono();
    const elapsedMs = now - this.#startedAt;
    if (elapsedMs < this.#windowMs) return;
    const isRecent = elapsedMs < 2 * this.#windowMs;
    this.#last = isRecent ? this.#present : new Float64Array(BUCKET_COUNT);
    this.#lastCount = isRecent ? this.#presentCount : 0;
    this.#present = new Float64Array(BUCKET_COUNT);
    this.#presentCount = 0;
    this.#startedAt = now;
  }
}

function bucketOf(ms: Millis): number {
  const index = Math.ceil(Math.log2(Math.max(ms, LEAST_MS) / LEAST_MS) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, index);
}
