/** Counts and latencies of a run, by team. */
import type { Millis } from '@hibiscushill/base';
import { type Histogram, build } from 'hdr-histogram-js';

import type { Verdict } from './verify';

/** A finished request. */
export interface Finished {
  readonly team: string;
  readonly verdict: Verdict;
  /** From the planned time to the end of the answer. */
  readonly latencyMs: Millis;
  readonly deadlineMs: Millis;
}

/** Latency percentiles in milliseconds, of answers only. */
export interface LatencySummary {
  readonly p50: Millis;
  readonly p90: Millis;
  readonly p99: Millis;
  readonly max: Millis;
}

/** The figures of one team or of all. */
export interface Figures {
  readonly offered: number;
  readonly answered: number;
  /** Answered after the deadline. */
  readonly late: number;
  /** Answered in time, a second. */
  readonly goodput: number;
  /** Answered, a second. */
  readonly perSecond: number;
  readonly latency: LatencySummary;
  readonly verdicts: Readonly<Record<string, number>>;
}

const MICROS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Collects one team's finished requests. */
export class Recorder {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  readonly #verdicts = new Map<Verdict, number>();

  #offered = 0;

  #late = 0;

  /** Counts a request that was due. */
  offer(): void {
    this.#offered += 1;
  }

  /**
   * Records a finished request.
   *
   * @param finished - the request
   */
  record(finished: Finished): void {
    const { verdict, latencyMs, deadlineMs } = finished;
    this.#verdicts.set(verdict, (this.#verdicts.get(verdict) ?? 0) + 1);
    if (verdict !== 'answered') return;
    this.#histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROS_PER_MS)));
    if (latencyMs > deadlineMs) this.#late += 1;
  }

  /**
   * Sums up.
   *
   * @param durationMs - how long requests were offered, in milliseconds
   * @returns the figures
   */
  summarize(durationMs: Millis): Figures {
    const seconds = durationMs / MS_PER_SECOND;
    const answered = this.#verdicts.get('answered') ?? 0;
    return {
      offered: this.#offered,
      answered,
      late: this.#late,
      goodput: round((answered - this.#late) / seconds),
      perSecond: round(answered / seconds),
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

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
