/** How many targets of a service swap their weights at once. */

/** A service's targets while a version is brought onto them. */
export interface WaveView {
  /** How many targets the service has. */
  readonly total: number;
  /** How many are swapping now. */
  readonly swapping: number;
  /** How many are ready to swap and don't serve the version yet. */
  readonly pending: number;
}

/** Decides how many swaps may begin. */
export abstract class WavePolicy {
  /**
   * Decides how many of the pending targets begin their swap now.
   *
   * @param view - the service's targets
   * @returns a number from zero to `view.pending`
   */
  abstract next(view: WaveView): number;
}

/** The baseline: every target swaps at once. */
export class AllAtOnce extends WavePolicy {
  override next(view: WaveView): number {
    return view.pending;
  }
}

/** Keeps a share of the targets swapping: as one ends, the next begins. */
export class SlidingWaves extends WavePolicy {
  readonly #share: () => number;

  /** @param share - the greatest share of the targets that may swap at once, above 0 up to 1 */
  constructor(share: () => number) {
    super();
    this.#share = share;
  }

  override next(view: WaveView): number {
    const width = Math.max(1, Math.floor(view.total * this.#share()));
    return Math.max(0, Math.min(view.pending, width - view.swapping));
  }
}
