/** Orders that bring a weight version onto a target, as their sender sees them. */
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
  /** The order's id. A retry has its own, with the same fencing number. */
  readonly order: RecordId;
  readonly fencing: FencingNumber;
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
}

/** What an engine says that it serves for a trainer. */
export interface WeightState {
  readonly version: WeightVersion;
  /** The highest fencing number that the target has seen from this trainer, or -1. */
  readonly highestFencing: number;
  /** Whether a load is under way, so that the version may still change. */
  readonly loading: boolean;
}

/** A target as the swapper sees it. */
export interface SwapTarget {
  readonly target: TargetId;
  /** The version that the target last reported for the trainer, if it has reported. */
  readonly version?: WeightVersion;
}

/** Sends weight orders to agents. Each call ends by its own deadline. */
export abstract class WeightOrders {
  /**
   * Lists the live targets of the trainer's service, each with its last report.
   *
   * @param trainer - the trainer
   * @returns the targets that can take orders now
   */
  abstract targets(trainer: TrainerId): readonly SwapTarget[];

  /**
   * Orders a target to serve a version and waits for the engine's verified answer.
   *
   * @param target - the target
   * @param order - the order
   * @returns the engine's state after the swap; `swap_failed`, `fencing_stale` or an unknown outcome
   */
  abstract swap(target: TargetId, order: WeightOrder): ResultAsync<WeightState, Failure>;

  /**
   * Asks a target what its engine serves for a trainer.
   *
   * @param target - the target
   * @param trainer - the trainer
   * @returns the engine's state
   */
  abstract query(target: TargetId, trainer: TrainerId): ResultAsync<WeightState, Failure>;

  /**
   * Asks a target to fetch a version ahead of its swap. It serves on meanwhile.
   *
   * @param _target - the target
   * @param _order - the order that will follow
   * @returns nothing; by default there is no fetching ahead
   */
  prefetch(_target: TargetId, _order: WeightOrder): ResultAsync<void, Failure> {
    return okAsync(undefined);
  }
}
