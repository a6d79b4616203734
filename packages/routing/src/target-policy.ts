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

/** The properties of a request that decide on its target. */
export interface TargetChoiceRequest {
  readonly service: ServiceId;
  /** The availability zone of the choosing entry. */
  readonly zone: ZoneId;
  /** For instance a hash of a prompt's prefix. Requests with equal keys prefer the same target. */
  readonly affinityKey?: string;
  /** The estimated cost. */
  readonly costTokens: number;
  /** Targets at which an earlier attempt of the request failed. */
  readonly exclude: ReadonlySet<TargetId>;
  /** The lowest weight version of a trainer that the target must serve. */
  readonly requiredWeights?: { readonly trainer: TrainerId; readonly minVersion: WeightVersion };
}

/** Chooses targets for requests. */
export abstract class TargetPolicy {
  /**
   * Chooses among the targets that are available and not excluded.
   *
   * @param req - the request
   * @param targets - the service's targets
   * @returns the target, or none when no target can take the request
   */
  abstract choose(req: TargetChoiceRequest, targets: readonly TargetView[]): Option<TargetView>;
}

/** Chooses among the candidates at random, with equal probability. */
export class RandomTargetPolicy extends TargetPolicy {
  readonly #random: RandomSource;

  /** @param options - the random source */
  constructor(options: { random: RandomSource }) {
    super();
    this.#random = options.random;
  }

  override choose(req: TargetChoiceRequest, targets: readonly TargetView[]): Option<TargetView> {
    return fromNullable(this.#random.pick(listCandidates(req, targets)));
  }
}

/**
 * Lists the targets that can take a request.
 *
 * @param req - the request
 * @param targets - the service's targets
 * @returns those that are available, not excluded, and serve the required weights
 */
export function listCandidates(
  req: TargetChoiceRequest,
  targets: readonly TargetView[],
): TargetView[] {
  return targets.filter(
    (target) => isAvailable(target) && !req.exclude.has(target.id) && hasWeights(req, target),
  );
}

function hasWeights({ requiredWeights }: TargetChoiceRequest, target: TargetView): boolean {
  if (!requiredWeights) return true;
  const version = target.weights?.get(requiredWeights.trainer);
  return version !== undefined && version >= requiredWeights.minVersion;
}
