/** When a sample that holds up its step is run a second time. */
import type { Millis, SampleId } from '@hibiscushill/base';

/** A sample that is running. */
export interface RunningSample {
  readonly sample: SampleId;
  /** How long its oldest try has been running, in milliseconds. */
  readonly runningMs: Millis;
  readonly tokens: number;
  readonly maxTokens: number;
  /** How many tries are running at once. */
  readonly tries: number;
}

/** A step as the straggler policy sees it. */
export interface StragglerView {
  readonly running: readonly RunningSample[];
  /** How many samples wait for a first try. */
  readonly waiting: number;
  /** How many samples the step has. */
  readonly total: number;
  /** How long the samples that were made took, in milliseconds, shortest first. */
  readonly finishedMs: readonly Millis[];
  /** How many second tries the step has had. */
  readonly hedges: number;
}

/** Decides which running samples get a second try. */
export abstract class StragglerPolicy {
  /**
   * Chooses samples to hedge now.
   *
   * @param view - the step
   * @returns samples of `view.running`, each to be given one more try
   */
  abstract choose(view: StragglerView): readonly SampleId[];
}

/** The baseline: never a second try. */
export class NoHedging extends StragglerPolicy {
  override choose(): readonly SampleId[] {
    return [];
  }
}

/** How the last samples of a step are hedged. */
export interface TailHedgingOptions {
  /** The share of a step's samples that counts as its last. */
  readonly tailShare?: number;
  /** How many times the median duration a sample may run before it is hedged. */
  readonly slowdown?: number;
  /** The share of a step's samples that may be hedged in all. */
  readonly budgetShare?: number;
  /** The shortest time after which a sample is hedged, in milliseconds. */
  readonly leastMs?: Millis;
}

/** Hedges the slowest of the last samples, within a budget for each step. */
export class TailHedging extends StragglerPolicy {
  readonly #tailShare: number;

  readonly #slowdown: number;

  readonly #budgetShare: number;

  readonly #leastMs: Millis;

  /** @param options - when a sample counts as slow, and how many may be hedged */
  constructor(options: TailHedgingOptions = {}) {
    super();
    this.#tailShare = options.tailShare ?? 0.25;
    this.#slowdown = options.slowdown ?? 1.5;
    this.#budgetShare = options.budgetShare ?? 0.1;
    this.#leastMs = options.leastMs ?? 500;
  }

  override choose(view: StragglerView): readonly SampleId[] {
    const tail = Math.max(1, Math.ceil(view.total * this.#tailShare));
    if (view.waiting > 0 || view.running.length > tail) return [];
    const median = view.finishedMs[Math.floor(view.finishedMs.length / 2)];
    if (median === undefined) return [];
    const limit = Math.max(this.#leastMs, median * this.#slowdown);
    const budget = Math.max(1, Math.ceil(view.total * this.#budgetShare)) - view.hedges;
    return view.running
      .filter((entry) => entry.tries === 1 && entry.runningMs > limit)
      .sort((a, b) => b.runningMs - a.runningMs)
      .slice(0, Math.max(0, budget))
      .map((entry) => entry.sample);
  }
}
