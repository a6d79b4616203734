/** The ports through which the holder of the control duty gives orders and reports usage. */
import type { Failure, FencingNumber, InstanceId, TeamId, WeightVersion } from '@hibiscushill/base';
import type { GuardOptions } from '@hibiscushill/log';
import type { ResultAsync } from 'neverthrow';

import type { TargetRegistration } from './target-directory';
import type { ModelId } from './serving-config';
import type { WeightChangeMode } from './weight-planner';

/** The sender of an order and its fencing number, by which receivers reject former holders. */
export interface FencingToken {
  readonly holder: InstanceId;
  readonly fencing: FencingNumber;
}

/** What an engine reports of its weights. */
export interface EngineReport {
  readonly versions: ReadonlyMap<ModelId, WeightVersion>;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** How many orders the engine has accepted since it started. */
  readonly orders: number;
}

/** An order to change an engine's weights. */
export interface WeightOrder {
  readonly model: ModelId;
  readonly version: WeightVersion;
  readonly mode: WeightChangeMode;
  /**
   * The number of orders that the engine must have accepted before; otherwise it rejects this one.
   */
  readonly after: number;
}

/** How an engine responded to an order; `holds` means that it has this version already. */
export type OrderOutcome = 'accepted' | 'holds' | 'out-of-turn' | 'refused';

/** Reads and changes the weights of engines. */
export abstract class EngineControl {
  /** Queries the weights of an engine. */
  abstract report(engine: TargetRegistration): ResultAsync<EngineReport, Failure>;

  /** Sends an order; after a failure it is unknown whether it will be carried out. */
  abstract order(
    engine: TargetRegistration,
    order: WeightOrder,
    author: FencingToken,
    guard: GuardOptions,
  ): ResultAsync<OrderOutcome, Failure>;
}

/** How many requests of each team began to run in a usage window. */
export type TeamCounts = Readonly<Record<TeamId, number>>;

/** Receives usage reports. */
export abstract class UsageSink {
  /** Reports the counts of a window; a repeated report must have the same counts. */
  abstract report(
    window: number,
    counts: TeamCounts,
    author: FencingToken,
    guard: GuardOptions,
  ): ResultAsync<void, Failure>;
}
