/** When a sample that holds up its step is run a second time. */
import type { Millis, SampleId } from '@hibiscushill/base';

/** A sample that is running. */
export interface RunningSample {
  readonly sample: SampleId;
  /** How long its oldest try has been running, in milliseconds. */
  readonly runningMs: Millis;
  /** How many tokens that try has given. */
  readonly tokens: number;
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
  /** The mean time for a token of the samples that were made, in milliseconds; zero without any. */
  readonly pace: Millis;
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

/** How slow samples at the end of a step are hedged. */
export interface TailHedgingOptions {
  /** The share of a step's samples that counts as its last. */
  readonly tailShare?: number;
  /** How many times the mean time for a token a sample may take before it is hedged. */
  readonly slowdown?: number;
  /** The share of a step's samples that may be hedged in all. */
  readonly budgetShare?: number;
  /** The shortest time after which a sample is hedged, in milliseconds. */
  readonly leastMs?: Millis;
}

/** Hedges those of a step's last samples that are slow for their tokens, within a budget a step. */
export class TailHedging extends StragglerPolicy {
  readonly #tailShare: number;

  readonly #slowdown: number;

  readonly #budgetShare: number;

  readonly #leastMs: Millis;

  /** @param options - when a sample counts as slow, and how many may be hedged */
  constructor(options: TailHedgingOptions = {}) {
    super();
    this.#tailShare = options.tailShare ?? 0.25;
    this.#slowdown = options.slowdown ?? 2;
    this.#budgetShare = options.budgetShare ?? 0.1;
    this.#leastMs = options.leastMs ?? 1000;
  }

  override choose(view: StragglerView): readonly SampleId[] {
    // Swaps hold samples up at a step's start; what is slow then isn't slow for long.
    const tail = Math.max(1, Math.ceil(view.total * this.#tailShare));
    if (view.waiting > 0 || view.running.length > tail || view.pace === 0) return [];
    const limit = view.pace * this.#slowdown;
    const budget = Math.max(1, Math.ceil(view.total * this.#budgetShare)) - view.hedges;
    return view.running
      .filter((entry) => entry.tries === 1 && entry.runningMs > this.#leastMs)
      .filter((entry) => entry.runningMs / Math.max(1, entry.tokens) > limit)
      .sort((a, b) => b.runningMs - a.runningMs)
      .slice(0, Math.max(0, budget))
      .map((entry) => entry.sample);
  }
}
