/** Target choice by availability zone, prefix affinity and load. */
import type { RandomSource } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import { RendezvousKey } from './hashing';
import { type ChoiceRequest, TargetPolicy, listCandidates } from './target-policy';
import { type TargetView, estimateAttempts, estimateLoad } from './target-view';

/** How {@link AffinityTargetPolicy} chooses. */
export interface AffinityOptions {
  readonly random: RandomSource;
  /** The load of the own availability zone from which others are considered. */
  readonly spillLoad?: number;
  /** How much less loaded another availability zone must be. */
  readonly spillMargin?: number;
  /** How far above the mean load a target may go for the sake of affinity. */
  readonly loadFactor?: number;
}

const DEFAULT_SPILL_LOAD = 1;
const DEFAULT_SPILL_MARGIN = 0.25;
const DEFAULT_LOAD_FACTOR = 1.25;

/** Own availability zone first; affinity while the load is even; else two random choices. */
export class AffinityTargetPolicy extends TargetPolicy {
  readonly #random: RandomSource;

  readonly #spillLoad: number;

  readonly #spillMargin: number;

  readonly #loadFactor: number;

  /** @param options - the random source and the bounds of each rule */
  constructor(options: AffinityOptions) {
    super();
    this.#random = options.random;
    this.#spillLoad = options.spillLoad ?? DEFAULT_SPILL_LOAD;
    this.#spillMargin = options.spillMargin ?? DEFAULT_SPILL_MARGIN;
    this.#loadFactor = options.loadFactor ?? DEFAULT_LOAD_FACTOR;
  }

  override choose(req: ChoiceRequest, targets: readonly TargetView[]): Option<TargetView> {
    const pool = this.#choosePool(req, listCandidates(req, targets));
    const preferred = req.affinityKey ? this.#findPreferred(req.affinityKey, pool) : undefined;
    return fromNullable(preferred ?? this.#chooseOfTwo(pool));
  }

  #choosePool(req: ChoiceRequest, candidates: TargetView[]): TargetView[] {
    const own = candidates.filter((target) => target.zone === req.zone);
    if (own.length === 0) return candidates;
    const ownLoad = poolLoad(own);
    if (ownLoad < this.#spillLoad || own.length === candidates.length) return own;
    const others = candidates.filter((target) => target.zone !== req.zone);
    return poolLoad(others) + this.#spillMargin <= ownLoad ? others : own;
  }

  #findPreferred(affinityKey: string, pool: readonly TargetView[]): TargetView | undefined {
    const key = new RendezvousKey(affinityKey);
    const perSlot = (sum(pool.map(estimateAttempts)) + 1) / sum(pool.map(slotsOf));
    const roomy = pool.filter(
      (target) =>
        estimateAttempts(target) < Math.ceil(this.#loadFactor * perSlot * slotsOf(target)),
    );
    return maximumBy(roomy, (target) => key.score(target.id, slotsOf(target)));
  }

  #chooseOfTwo(pool: readonly TargetView[]): TargetView | undefined {
    if (pool.length < 2) return pool[0];
    const first = this.#random.int(0, pool.length - 1);
    const step = this.#random.int(1, pool.length - 1);
    const one = pool[first] as TargetView;
    const other = pool[(first + step) % pool.length] as TargetView;
    return estimateLoad(other) < estimateLoad(one) ? other : one;
  }
}

function slotsOf(target: TargetView): number {
  return Math.max(1, target.reported.slots);
}

function poolLoad(pool: readonly TargetView[]): number {
  return sum(pool.map(estimateAttempts)) / sum(pool.map(slotsOf));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function maximumBy<T>(items: readonly T[], scoreOf: (item: T) => number): T | undefined {
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
