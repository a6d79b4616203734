/** Policies that hedge stragglers: samples so slow that they delay their step. */
import type { Millis, SampleId } from '@hibiscushill/base';

/** A sample that is running. */
export interface RunningSample {
  readonly sample: SampleId;
  /** How long its oldest attempt has been running, in milliseconds. */
  readonly runningMs: Millis;
  /** How many tokens that attempt has added. */
  readonly tokenCount: number;
  /** How many attempts are running at once. */
  readonly attemptCount: number;
}

/** The progress of a step's samples, from which a policy decides. */
export interface StepProgress {
  readonly running: readonly RunningSample[];
  /** How many samples have no running attempt and no output. */
  readonly waitingCount: number;
  /** How many samples the step has. */
  readonly sampleCount: number;
  /** The mean time per token of the generated samples, in milliseconds; zero without any. */
  readonly meanMsPerToken: Millis;
  /** How many additional attempts the step has had by hedging. */
  readonly hedgeCount: number;
}

/** Decides which running samples get an additional attempt. */
export abstract class StragglerPolicy {
  /**
   * Chooses the samples to hedge now.
   *
   * @param progress - the step's progress
   * @returns samples of `progress.running`, each of which gets one more attempt
   */
  abstract choose(progress: StepProgress): readonly SampleId[];
}

/** Never hedges; the baseline for comparisons. */
export class NoHedging extends StragglerPolicy {
  override choose(): readonly SampleId[] {
    return [];
  }
}

/** The thresholds from which samples at the end of a step are hedged. */
export interface TailHedgingOptions {
  /** The fraction of a step's samples that counts as its end, from 0 to 1. Default 0.25. */
  readonly tailFraction?: number;
  /** A sample is slow if its time per token exceeds the mean this many times. Default 2. */
  readonly slowdownFactor?: number;
  /** The fraction of a step's samples that may be hedged in total, from 0 to 1. Default 0.1. */
  readonly maxHedgedFraction?: number;
  /** The time before which no sample is hedged, in milliseconds. Default 1000. */
  readonly minRunningMs?: Millis;
}

/** Hedges the samples at a step's end whose time per token is high, up to a limit per step. */
export class TailHedging extends StragglerPolicy {
  readonly #tailFraction: number;

  readonly #slowdownFactor: number;

  readonly #maxHedgedFraction: number;

  readonly #minRunningMs: Millis;

  /** @param options - which samples count as slow, and how many may be hedged */
  constructor(options: TailHedgingOptions = {}) {
    super();
    this.#tailFraction = options.tailFraction ?? 0.25;
    this.#slowdownFactor = options.slowdownFactor ?? 2;
    this.#maxHedgedFraction = options.maxHedgedFraction ?? 0.1;
    this.#minRunningMs = options.minRunningMs ?? 1000;
  }

  override choose(progress: StepProgress): readonly SampleId[] {
    // At a step's start, samples are slow because targets are swapping weights, which passes.
    const tailCount = Math.max(1, Math.ceil(progress.sampleCount * this.#tailFraction));
    if (
      progress.waitingCount > 0 ||
      progress.running.length > tailCount ||
      progress.meanMsPerToken === 0
    )
      return [];
    const maxMsPerToken = progress.meanMsPerToken * this.#slowdownFactor;
    const remainingHedges =
      Math.max(1, Math.ceil(progress.sampleCount * this.#maxHedgedFraction)) - progress.hedgeCount;
    return progress.running
      .filter((entry) => entry.attemptCount === 1 && entry.runningMs > this.#minRunningMs)
      .filter((entry) => entry.runningMs / Math.max(1, entry.tokenCount) > maxMsPerToken)
      .sort((a, b) => b.runningMs - a.runningMs)
      .slice(0, Math.max(0, remainingHedges))
      .map((entry) => entry.sample);
  }
}
