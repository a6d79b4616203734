/** Orders and reports that one process at a time gives. */
import type { Failure, FencingNumber, InstanceId, TeamId, WeightVersion } from '@hibiscushill/base';
import type { GuardOptions } from '@hibiscushill/log';
import type { ResultAsync } from 'neverthrow';

import type { TargetEntry } from './target-directory';
import type { ModelId } from './serving-config';
import type { ChangeMode } from './weight-planner';

/** Who gives an order, and the proof that nobody does so after it. */
export interface OrderAuthor {
  readonly holder: InstanceId;
  readonly fencing: FencingNumber;
}

/** What an engine says of its weights. */
export interface EngineReport {
  readonly versions: ReadonlyMap<ModelId, WeightVersion>;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** Orders that this incarnation has accepted. */
  readonly orders: number;
}

/** An order to change an engine's weights. */
export interface WeightOrder {
  readonly model: ModelId;
  readonly version: WeightVersion;
  readonly mode: ChangeMode;
  /** The order is void unless the engine has accepted just so many before it. */
  readonly after: number;
}

/** What an engine made of an order. */
export type OrderVerdict = 'accepted' | 'holds' | 'out-of-turn' | 'refused';

/** Orders weights at engines. */
export abstract class EngineControl {
  /** Asks an engine for its weights. */
  abstract report(engine: TargetEntry): ResultAsync<EngineReport, Failure>;

  /** Sends an order; a failure leaves it unknown whether it will be carried out. */
  abstract order(
    engine: TargetEntry,
    order: WeightOrder,
    author: OrderAuthor,
    guard: GuardOptions,
  ): ResultAsync<OrderVerdict, Failure>;
}

/** The requests of each team that began to run in a window. */
export type TeamCounts = Readonly<Record<TeamId, number>>;

/** Takes usage reports. */
export abstract class UsageSink {
  /** Reports a window; a repeat must bring the same counts. */
  abstract report(
    window: number,
    counts: TeamCounts,
    author: OrderAuthor,
    guard: GuardOptions,
  ): ResultAsync<void, Failure>;
}
