/** Latency quantiles over the recent past. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';

// The buckets reach from 0.1 ms to about 56 minutes; neighbours differ by 9 %.
const BUCKETS_PER_DOUBLING = 8;
const BUCKET_COUNT = 200;
const MIN_LATENCY_MS = 0.1;

/** A histogram with logarithmic buckets over the current and the previous time window. */
export class LatencyHistogram {
  readonly #clock: Clock;

  readonly #windowMs: Millis;

  #current = new Float64Array(BUCKET_COUNT);

  #previous = new Float64Array(BUCKET_COUNT);

  #currentCount = 0;

  #previousCount = 0;

  #currentStartedAt: MonoTime;

  /**
   * @param clock - the clock
   * @param windowMs - the length of a window, in milliseconds
   */
  constructor(clock: Clock, windowMs: Millis) {
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#currentStartedAt = clock.mono();
  }

  /**
   * Records a latency.
   *
   * @param ms - the latency in milliseconds
   */
  record(ms: Millis): void {
    this.#rotate();
    const index = bucketIndex(ms);
    this.#current[index] = (this.#current[index] ?? 0) + 1;
    this.#currentCount += 1;
  }

  /** The number of latencies in both windows. */
  get count(): number {
    this.#rotate();
    return this.#currentCount + this.#previousCount;
  }

  /**
   * Returns a quantile of the latencies in both windows.
   *
   * @param fraction - the quantile, from 0 to 1
   * @returns the upper end of the quantile's bucket in milliseconds; zero without any latency
   */
  quantile(fraction: number): Millis {
    const rank = this.count * fraction;
    if (rank === 0) return 0;
    let cumulative = 0;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      cumulative += (this.#current[index] ?? 0) + (this.#previous[index] ?? 0);
      if (cumulative >= rank) return MIN_LATENCY_MS * 2 ** (index / BUCKETS_PER_DOUBLING);
    }
    return MIN_LATENCY_MS * 2 ** (BUCKET_COUNT / BUCKETS_PER_DOUBLING);
  }

  #rotate(): void {
    const now = this.#clock.mono();
    const elapsedMs = now - this.#currentStartedAt;
    if (elapsedMs < this.#windowMs) return;
    const isRecent = elapsedMs < 2 * this.#windowMs;
    this.#previous = isRecent ? this.#current : new Float64Array(BUCKET_COUNT);
    this.#previousCount = isRecent ? this.#currentCount : 0;
    this.#current = new Float64Array(BUCKET_COUNT);
    this.#currentCount = 0;
    this.#currentStartedAt = now;
  }
}

function bucketIndex(ms: Millis): number {
  const index = Math.ceil(
    Math.log2(Math.max(ms, MIN_LATENCY_MS) / MIN_LATENCY_MS) * BUCKETS_PER_DOUBLING,
  );
  return Math.min(BUCKET_COUNT - 1, index);
}
