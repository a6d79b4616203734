/** Orders to targets to serve a weight version, from the sender's side. */
import type {
  Failure,
  FencingNumber,
  RecordId,
  TargetId,
  TrainerId,
  WeightVersion,
} from '@hibiscushill/base';
import { okAsync, type ResultAsync } from 'neverthrow';

/** An order to serve a weight version. */
export interface WeightOrder {
  /** The order's id. A retry has a new id and the same fencing number. */
  readonly order: RecordId;
  readonly fencing: FencingNumber;
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
}

/** The state of an engine's weights for a trainer, as the engine reports it. */
export interface WeightState {
  /** The version that the engine serves. */
  readonly version: WeightVersion;
  /** The highest fencing number that the target has received for this trainer, or -1. */
  readonly highestFencing: number;
  /** Whether the engine is loading weights, so that the version may change soon. */
  readonly loading: boolean;
}

/** A target and the version that it serves for a trainer. */
export interface SwapTarget {
  readonly target: TargetId;
  /** The version that the target last reported, or undefined before its first report. */
  readonly version?: WeightVersion;
}

/** Sends weight orders to the targets' agents. Each call has its own timeout. */
export abstract class WeightOrderSender {
  /**
   * Lists the targets of the trainer's service that can take orders, each with its last report.
   *
   * @param trainer - the trainer
   * @returns the targets
   */
  abstract listTargets(trainer: TrainerId): readonly SwapTarget[];

  /**
   * Orders a target to serve a version and waits until the agent has verified that it does.
   *
   * @param target - the target
   * @param order - the order
   * @returns the engine's state after the swap; `swap_failed`, `fencing_stale`, or
   *   `outcome_unknown`
   */
  abstract swap(target: TargetId, order: WeightOrder): ResultAsync<WeightState, Failure>;

  /**
   * Queries the state of a target's engine for a trainer.
   *
   * @param target - the target
   * @param trainer - the trainer
   * @returns the engine's state
   */
  abstract queryState(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure>;

  /**
   * Asks a target to fetch a version before its swap. The target keeps serving during the fetch.
   * By default, nothing is prefetched.
   *
   * @param _target - the target
   * @param _order - the order that will follow
   * @returns nothing once the target has the version, or why it hasn't
   */
  prefetch(_target: TargetId, _order: WeightOrder): ResultAsync<void, Failure> {
    return okAsync(undefined);
  }
}
