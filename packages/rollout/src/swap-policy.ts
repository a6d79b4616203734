/** How many targets of a service swap their weights at once. */

/** A service's targets while a version is brought onto them. */
export interface SwapCounts {
  /** How many targets the service has. */
  readonly targetCount: number;
  /** How many are swapping now. */
  readonly swappingCount: number;
  /** How many are ready to swap and don't serve the version yet. */
  readonly pendingCount: number;
}

/** Decides how many swaps may begin. */
export abstract class SwapPolicy {
  /**
   * Decides how many of the pending targets begin their swap now.
   *
   * @param view - the service's targets
   * @returns a number from zero to `view.pending`
   */
  abstract countToStart(view: SwapCounts): number;
}

/** The baseline: every target swaps at once. */
export class AllAtOnce extends SwapPolicy {
  override countToStart(view: SwapCounts): number {
    return view.pendingCount;
  }
}

/** Keeps a share of the targets swapping: as one ends, the next begins. */
export class SlidingWaves extends SwapPolicy {
  readonly #share: () => number;

  /** @param share - the greatest share of the targets that may swap at once, above 0 up to 1 */
  constructor(share: () => number) {
    super();
    this.#share = share;
  }

  override countToStart(view: SwapCounts): number {
    const width = Math.max(1, Math.floor(view.targetCount * this.#share()));
    return Math.max(0, Math.min(view.pendingCount, width - view.swappingCount));
  }
}
