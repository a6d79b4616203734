/** The interfaces to an engine's weights and to the store that the weights come from. */
import type {
  Failure,
  FencingNumber,
  RecordId,
  TrainerId,
  WeightVersion,
} from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

import type { WeightState } from './weight-orders';

/** An order to an engine to load a version. */
export interface LoadOrder {
  readonly order: RecordId;
  readonly fencing: FencingNumber;
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
  /** Where the engine finds the weights, as returned by the fetch. */
  readonly source: string;
}

/** Loads weights into one engine and reads their state. Each call has its own timeout. */
export abstract class EngineWeightsClient {
  /**
   * Orders the engine to load a version.
   *
   * @param order - the version to load
   * @returns nothing when the engine reports success; `swap_failed` when it reports a failure,
   *   `fencing_stale` when it has received a higher fencing number, `outcome_unknown` when it
   *   doesn't respond
   */
  abstract load(order: LoadOrder): ResultAsync<void, Failure>;

  /**
   * Reads the state of the engine's weights for a trainer.
   *
   * @param trainer - the trainer
   * @returns the state
   */
  abstract readState(trainer: TrainerId): ResultAsync<WeightState, Failure>;
}

/** Fetches weights from the platform's store to a target. */
export abstract class WeightFetcher {
  /**
   * Fetches a version, without retries. When the store is busy, the failure has `retryAfterMs`.
   *
   * @param trainer - the trainer
   * @param version - the version
   * @returns where the engine finds the weights
   */
  abstract fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure>;
}
