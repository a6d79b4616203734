/** Policies that limit how many targets of a service swap their weights at the same time. */

/** The targets of a service, counted by the progress of their swaps. */
export interface SwapCounts {
  /** How many targets the service has. */
  readonly targetCount: number;
  /** How many are swapping now. */
  readonly swappingCount: number;
  /** How many are ready to swap and don't serve the newest version yet. */
  readonly pendingCount: number;
}

/** Decides how many swaps may start. */
export abstract class SwapPolicy {
  /**
   * Decides how many of the pending targets start their swap now.
   *
   * @param counts - the service's targets
   * @returns a number from zero to `counts.pendingCount`
   */
  abstract countToStart(counts: SwapCounts): number;
}

/** Starts all swaps at once; the baseline for comparisons. */
export class AllAtOnce extends SwapPolicy {
  override countToStart(counts: SwapCounts): number {
    return counts.pendingCount;
  }
}

/** Keeps a fraction of the targets swapping: when one swap ends, the next one starts. */
export class RollingUpdate extends SwapPolicy {
  readonly #maxFraction: () => number;

  /** @param maxFraction - returns the fraction of targets that may swap at once, in (0, 1] */
  constructor(maxFraction: () => number) {
    super();
    this.#maxFraction = maxFraction;
  }

  override countToStart(counts: SwapCounts): number {
    const maxSwapping = Math.max(1, Math.floor(counts.targetCount * this.#maxFraction()));
    return Math.max(0, Math.min(counts.pendingCount, maxSwapping - counts.swappingCount));
  }
}
