/** Request counts and latencies, collected during a run. */
import type { Millis } from '@hibiscushill/base';
import { type Histogram, build } from 'hdr-histogram-js';

import type { Verdict } from './verify';

/** The result of one request. */
export interface FinishedRequest {
  readonly team: string;
  readonly verdict: Verdict;
  /** From the planned time, not from sending, to the end of the response. */
  readonly latencyMs: Millis;
  readonly deadlineMs: Millis;
}

/** Latency percentiles of the requests with the verdict `answered`, in milliseconds. */
export interface LatencySummary {
  readonly p50: Millis;
  readonly p90: Millis;
  readonly p99: Millis;
  readonly max: Millis;
}

/** Request counts, rates and latencies of one team, or of all teams together. */
export interface RequestStats {
  /** Requests that were due and sent. */
  readonly offered: number;
  /** Requests with the verdict `answered`, late ones included. */
  readonly answered: number;
  /** Answered requests that ended after their deadline. */
  readonly late: number;
  /** Requests answered within their deadline, per second. */
  readonly goodput: number;
  /** Answered requests per second. */
  readonly perSecond: number;
  readonly latency: LatencySummary;
  /** The number of requests by verdict. */
  readonly verdicts: Readonly<Record<string, number>>;
}

const MICROS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Collects the results of one team's requests, or of all requests. */
export class Recorder {
  /** Latencies in microseconds, up to ten minutes, the longest duration of a run. */
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  readonly #verdicts = new Map<Verdict, number>();

  #offered = 0;

  #late = 0;

  /** Counts a request that was due, before its result is known. */
  recordOffered(): void {
    this.#offered += 1;
  }

  /**
   * Counts a result. The latency of a request that was not answered is ignored.
   *
   * @param finished - the result
   */
  recordFinished(finished: FinishedRequest): void {
    const { verdict, latencyMs, deadlineMs } = finished;
    this.#verdicts.set(verdict, (this.#verdicts.get(verdict) ?? 0) + 1);
    if (verdict !== 'answered') return;
    this.#histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROS_PER_MS)));
    if (latencyMs > deadlineMs) this.#late += 1;
  }

  /**
   * Computes the statistics of everything recorded so far.
   *
   * @param durationMs - how long requests were sent, in milliseconds; rates are per second of it
   * @returns the statistics; all latencies are 0 when no request was answered
   */
  summarize(durationMs: Millis): RequestStats {
    const seconds = durationMs / MS_PER_SECOND;
    const answered = this.#verdicts.get('answered') ?? 0;
    return {
      offered: this.#offered,
      answered,
      late: this.#late,
      goodput: roundToHundredths((answered - this.#late) / seconds),
      perSecond: roundToHundredths(answered / seconds),
      latency: {
        p50: this.#percentile(50),
        p90: this.#percentile(90),
        p99: this.#percentile(99),
        max: this.#histogram.totalCount === 0 ? 0 : this.#histogram.maxValue / MICROS_PER_MS,
      },
      verdicts: Object.fromEntries([...this.#verdicts].sort(([a], [b]) => (a < b ? -1 : 1))),
    };
  }

  #percentile(percent: number): Millis {
    return this.#histogram.getValueAtPercentile(percent) / MICROS_PER_MS;
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
