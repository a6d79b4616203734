/** An engine's interface for weights, and the store that the weights come from. */
import type {
  Failure,
  FencingNumber,
  RecordId,
  TrainerId,
  WeightVersion,
} from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

import type { WeightState } from './weight-orders';

/** What an engine is told to load. */
export interface LoadOrder {
  readonly order: RecordId;
  readonly fencing: FencingNumber;
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
  /** Where the engine finds the weights. */
  readonly source: string;
}

/** The weights interface of one engine. Each call ends by its own deadline. */
export abstract class EngineWeights {
  /**
   * Orders the engine to load a version.
   *
   * @param order - what to load
   * @returns nothing when the engine says it has; `swap_failed` when it says it has not,
   *   `fencing_stale` when it knows a higher number, `outcome_unknown` when it doesn't answer
   */
  abstract load(order: LoadOrder): ResultAsync<void, Failure>;

  /**
   * Asks the engine what it serves for a trainer.
   *
   * @param trainer - the trainer
   * @returns its state
   */
  abstract state(trainer: TrainerId): ResultAsync<WeightState, Failure>;
}

/** Brings weights from the platform's store to a target. */
export abstract class WeightSource {
  /**
   * Fetches a version once. A busy store is a failure with `retryAfterMs`.
   *
   * @param trainer - the trainer
   * @param version - the version
   * @returns where the engine finds the weights
   */
  abstract fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure>;
}
