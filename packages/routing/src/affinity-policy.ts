/** Target choice by availability zone, prefix affinity and load. */
import type { RandomSource } from '@hibiscushill/base';
import { type Option, fromNullable, some } from 'fp-ts/Option';

import { RendezvousKey } from './hashing';
import { type ChoiceRequest, TargetPolicy, listCandidates } from './target-policy';
import { type TargetView, estimateAttempts, estimateLoad } from './target-view';

/** How {@link AffinityTargetPolicy} chooses. */
export interface AffinityOptions {
  readonly random: RandomSource;
  /** The load of the best target of the own availability zone from which others count. */
  readonly spillLoad?: number;
  /** How much less loaded a target of another availability zone must be. */
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
    const candidates = listCandidates(req, targets);
    const own = this.#chooseIn(
      req,
      candidates.filter((target) => target.zone === req.zone),
    );
    if (own && estimateLoad(own) < this.#spillLoad) return some(own);
    const other = this.#chooseIn(
      req,
      candidates.filter((target) => target.zone !== req.zone),
    );
    return fromNullable(this.#isWorthLeaving(own, other) ? other : own);
  }

  #isWorthLeaving(own: TargetView | undefined, other: TargetView | undefined): boolean {
    if (!own || !other) return other !== undefined;
    return estimateLoad(other) + this.#spillMargin <= estimateLoad(own);
  }

  #chooseIn(req: ChoiceRequest, pool: readonly TargetView[]): TargetView | undefined {
    const preferred = req.affinityKey ? this.#findPreferred(req.affinityKey, pool) : undefined;
    return preferred ?? this.#chooseOfTwo(pool);
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
