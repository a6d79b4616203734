/** The choice of a target for a short request. */
import type { RandomSource, TargetId, ZoneId } from '@hibiscushill/base';

import type { TargetEntry } from './target-directory';
import type { TargetStats } from './target-stats';

// A target that was never used counts as this fast, so that it is tried early.
const UNKNOWN_MS = 1;
// A request that would wait behind a full target costs about one more usual time.
const LOAD_WEIGHT = 1;
// A hop to another availability zone and back, in milliseconds.
const ZONE_PENALTY_MS = 2;

/** Chooses among targets for a short request. */
export abstract class TargetChooser {
  /**
   * Chooses a target.
   *
   * @param targets - the service's usable targets
   * @param tried - targets that the request was sent to before
   * @returns the target, or undefined when none is left
   */
  abstract choose(
    targets: readonly TargetEntry[],
    tried: ReadonlySet<TargetId>,
  ): TargetEntry | undefined;
}

/**
 * Answers few requests spread over many processes, on targets some of which are slow or fail:
 * each process prefers the target that is expected to answer first and leaves out those that fail.
 */
export class FastestChooser extends TargetChooser {
  readonly #stats: TargetStats;

  readonly #zone: ZoneId;

  readonly #random: RandomSource;

  /** @param options - what was seen of the targets, this process's zone and the random source */
  constructor(options: { stats: TargetStats; zone: ZoneId; random: RandomSource }) {
    super();
    this.#stats = options.stats;
    this.#zone = options.zone;
    this.#random = options.random;
  }

  override choose(
    targets: readonly TargetEntry[],
    tried: ReadonlySet<TargetId>,
  ): TargetEntry | undefined {
    const left = targets.filter((target) => !tried.has(target.id));
    const sound = left.filter((target) => !this.#stats.isEjected(target.id));
    const candidates = sound.length > 0 ? sound : left;
    const scored = candidates.map((target) => ({ target, score: this.#score(target) }));
    return scored.sort((a, b) => a.score - b.score)[0]?.target;
  }

  #score(target: TargetEntry): number {
    const usualMs = this.#stats.usualMs(target.id) ?? UNKNOWN_MS;
    const load = this.#stats.loadOf(target.id, target.slots);
    const distanceMs = target.zone === this.#zone ? 0 : ZONE_PENALTY_MS;
    const coldMs = target.coldLeftMs > 0 ? usualMs : 0;
    return (usualMs + coldMs) * (1 + LOAD_WEIGHT * load) + distanceMs + this.#random.fraction();
  }
}
