/** Target choice by availability zone, affinity and load. */
import type { RandomSource } from '@hibiscushill/base';
import { type Option, fromNullable, some } from 'fp-ts/Option';

import { RendezvousKey } from './rendezvous-key';
import { type TargetChoiceRequest, TargetPolicy, listCandidates } from './target-policy';
import { type TargetView, estimateAttempts, estimateLoad } from './target-view';

/** The random source and the thresholds of {@link AffinityTargetPolicy}. */
export interface AffinityTargetPolicyOptions {
  readonly random: RandomSource;
  /**
   * The load of the target chosen in the entry's own availability zone from which on targets of
   * other zones are considered, in attempts for each slot.
   */
  readonly spilloverLoad?: number;
  /** How much lower the load of a target in another availability zone must be to be chosen. */
  readonly spilloverMargin?: number;
  /** The highest load of a target preferred by affinity, as a multiple of the mean load. */
  readonly loadFactor?: number;
}

const DEFAULT_SPILLOVER_LOAD = 1;
const DEFAULT_SPILLOVER_MARGIN = 0.25;
const DEFAULT_LOAD_FACTOR = 1.25;

/**
 * Prefers targets in the entry's own availability zone. Within a zone, a request with an affinity
 * key goes to the key's target by consistent hashing with bounded loads; any other request goes to
 * the less loaded of two random targets.
 */
export class AffinityTargetPolicy extends TargetPolicy {
  readonly #random: RandomSource;

  readonly #spilloverLoad: number;

  readonly #spilloverMargin: number;

  readonly #loadFactor: number;

  /** @param options - the random source and the thresholds */
  constructor(options: AffinityTargetPolicyOptions) {
    super();
    this.#random = options.random;
    this.#spilloverLoad = options.spilloverLoad ?? DEFAULT_SPILLOVER_LOAD;
    this.#spilloverMargin = options.spilloverMargin ?? DEFAULT_SPILLOVER_MARGIN;
    this.#loadFactor = options.loadFactor ?? DEFAULT_LOAD_FACTOR;
  }

  override choose(req: TargetChoiceRequest, targets: readonly TargetView[]): Option<TargetView> {
    const candidates = listCandidates(req, targets);
    const own = this.#chooseAmong(
      req,
      candidates.filter((target) => target.zone === req.zone),
    );
    if (own && estimateLoad(own) < this.#spilloverLoad) return some(own);
    const other = this.#chooseAmong(
      req,
      candidates.filter((target) => target.zone !== req.zone),
    );
    return fromNullable(this.#shouldSpillOver(own, other) ? other : own);
  }

  /** Decides between a target of the own availability zone and one of another. */
  #shouldSpillOver(own: TargetView | undefined, other: TargetView | undefined): boolean {
    if (!own || !other) return other !== undefined;
    return estimateLoad(other) + this.#spilloverMargin <= estimateLoad(own);
  }

  #chooseAmong(
    req: TargetChoiceRequest,
    candidates: readonly TargetView[],
  ): TargetView | undefined {
    const preferred = req.affinityKey
      ? this.#findPreferred(req.affinityKey, candidates)
      : undefined;
    return preferred ?? this.#chooseOfTwo(candidates);
  }

  /** Finds the key's first choice among the targets whose load stays within the load factor. */
  #findPreferred(affinityKey: string, candidates: readonly TargetView[]): TargetView | undefined {
    const key = new RendezvousKey(affinityKey);
    const meanLoad = (sum(candidates.map(estimateAttempts)) + 1) / sum(candidates.map(slotCount));
    const withinLoadFactor = candidates.filter(
      (target) =>
        estimateAttempts(target) < Math.ceil(this.#loadFactor * meanLoad * slotCount(target)),
    );
    return maxBy(withinLoadFactor, (target) => key.score(target.id, slotCount(target)));
  }

  /** Chooses the less loaded of two different targets drawn at random. */
  #chooseOfTwo(candidates: readonly TargetView[]): TargetView | undefined {
    if (candidates.length < 2) return candidates[0];
    const first = this.#random.int(0, candidates.length - 1);
    const step = this.#random.int(1, candidates.length - 1);
    const one = candidates[first] as TargetView;
    const other = candidates[(first + step) % candidates.length] as TargetView;
    return estimateLoad(other) < estimateLoad(one) ? other : one;
  }
}

function slotCount(target: TargetView): number {
  return Math.max(1, target.reported.slots);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Returns the first item with the highest score, or undefined for an empty list. */
function maxBy<T>(items: readonly T[], scoreOf: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const score = scoreOf(item);
    if (score > bestScore) {
      best = item;
      bestScore = score;
    }
  }
  return best;
}
