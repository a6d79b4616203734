/** The choice of a target for a request. */
import type {
  RandomSource,
  ServiceId,
  TargetId,
  TrainerId,
  WeightVersion,
  ZoneId,
} from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import { type TargetView, isAvailable } from './target-view';

/** What the choice goes by. */
export interface ChoiceRequest {
  readonly service: ServiceId;
  /** The entry's own availability zone. */
  readonly zone: ZoneId;
  /** Requests with an equal key prefer the same target, such as a hash of the prompt's start. */
  readonly affinityKey?: string;
  readonly costTokens: number;
  /** Targets that failed the request before. */
  readonly exclude: ReadonlySet<TargetId>;
  /** The least weight version that the target must serve for a trainer. */
  readonly weights?: { readonly trainer: TrainerId; readonly least: WeightVersion };
}

/** Chooses a target. */
export abstract class TargetPolicy {
  /**
   * Chooses among the targets that are available and not excluded.
   *
   * @param req - what the choice goes by
   * @param targets - the service's targets
   * @returns the target, or none when no target can take the request
   */
  abstract choose(req: ChoiceRequest, targets: readonly TargetView[]): Option<TargetView>;
}

/** Chooses any available target, each as likely. */
export class RandomTargetPolicy extends TargetPolicy {
  readonly #random: RandomSource;

  /** @param options - the random source */
  constructor(options: { random: RandomSource }) {
    super();
    this.#random = options.random;
  }

  override choose(req: ChoiceRequest, targets: readonly TargetView[]): Option<TargetView> {
    return fromNullable(this.#random.pick(listCandidates(req, targets)));
  }
}

/**
 * Lists the targets that may take a request.
 *
 * @param req - the request
 * @param targets - the service's targets
 * @returns those that are available, not excluded, and serve the wanted weights
 */
export function listCandidates(req: ChoiceRequest, targets: readonly TargetView[]): TargetView[] {
  return targets.filter(
    (target) => isAvailable(target) && !req.exclude.has(target.id) && hasWeights(req, target),
  );
}

function hasWeights({ weights }: ChoiceRequest, target: TargetView): boolean {
  if (!weights) return true;
  const version = target.weights?.get(weights.trainer);
  return version !== undefined && version >= weights.least;
}
