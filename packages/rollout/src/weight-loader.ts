/** Brings ordered weight versions onto the engine beside the agent, under fencing. */
import {
  createFailure,
  type Clock,
  type Failure,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { EngineWeights, WeightSource } from './engine-weights';
import { TrainerWeightOrders } from './trainer-weight-orders';
import type { WeightOrder, WeightState } from './weight-orders';

/** What an applier needs. */
export interface WeightLoaderDeps {
  readonly engine: EngineWeights;
  readonly source: WeightSource;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /**
   * Asks others for the highest fencing number of a trainer, or -1. It is asked once for each
   * trainer before the first order is taken, beside the engine, which may not keep it.
   */
  readonly learn?: (trainer: TrainerId) => ResultAsync<number, Failure>;
  /** How long one order may take in all, in milliseconds. */
  readonly orderTimeoutMs?: Millis;
  /** How often a loading engine is asked whether it is done, in milliseconds. */
  readonly pollIntervalMs?: Millis;
}

/** A version that a target serves for a trainer. */
export interface ServedVersion {
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
}

const DEFAULT_ORDER_TIMEOUT_MS: Millis = 30_000;
const DEFAULT_POLL_INTERVAL_MS: Millis = 100;
const STORE_RETRY_DELAY_MS: Millis = 500;

/** Takes weight orders for one engine, one at a time for each trainer. */
export class WeightApplier {
  readonly #deps: WeightLoaderDeps;

  readonly #ordersByTrainer = new Map<TrainerId, TrainerWeightOrders>();

  /** @param deps - the engine, the store and how to learn fencing numbers */
  constructor(deps: WeightLoaderDeps) {
    this.#deps = deps;
  }

  /** The versions that the engine said it serves when it was last asked. */
  get versions(): ServedVersion[] {
    return [...this.#ordersByTrainer].flatMap(([trainer, { servedVersion: served }]) =>
      served === undefined ? [] : [{ trainer, version: served }],
    );
  }

  /**
   * Carries an order out. Repeating it does no harm.
   *
   * @param order - the order
   * @returns the engine's state once it serves the version; `fencing_stale` for an older holder,
   *   `weights_conflict` for a version that a newer order has replaced
   */
  apply(order: WeightOrder): ResultAsync<WeightState, Failure> {
    return new ResultAsync(this.#apply(order));
  }

  /**
   * Fetches a version ahead of its order. The engine is not touched.
   *
   * @param order - the order that will follow
   * @returns nothing once the version is here
   */
  prefetch(order: WeightOrder): ResultAsync<void, Failure> {
    return this.#fetch(order, this.#createDeadline()).map(() => undefined);
  }

  /**
   * Asks the engine what it serves for a trainer.
   *
   * @param trainer - the trainer
   * @returns its state, with the highest fencing number that either has seen
   */
  query(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    return this.#readState(trainer);
  }

  /** Asks the engine again about every trainer, so that `versions` shows a late load. */
  async refresh(): Promise<void> {
    await Promise.all([...this.#ordersByTrainer.keys()].map((trainer) => this.#readState(trainer)));
  }

  async #apply(order: WeightOrder): Promise<Result<WeightState, Failure>> {
    const lane = this.#ordersOf(order.trainer);
    const learnt = await this.#learnHighestFencing(order.trainer, lane);
    if (learnt.isErr()) return err(learnt.error);
    const accepted = this.#accept(order, lane);
    if (accepted.isErr()) return err(accepted.error);
    return lane.runInOrder(() => this.#loadVersion(order, lane));
  }

  async #learnHighestFencing(
    trainer: TrainerId,
    lane: TrainerWeightOrders,
  ): Promise<Result<void, Failure>> {
    if (lane.highestFencing !== undefined) return ok(undefined);
    const { learn } = this.#deps;
    const others = learn ? await learn(trainer) : ok<number, Failure>(-1);
    if (others.isErr()) return err(others.error);
    const state = await this.#readState(trainer);
    if (state.isErr()) return err(state.error);
    lane.raiseHighestFencing(Math.max(others.value, state.value.highestFencing));
    return ok(undefined);
  }

  #accept(order: WeightOrder, lane: TrainerWeightOrders): Result<void, Failure> {
    return lane.accept(order).mapErr((failure) => {
      this.#deps.metrics.countRefusal(failure.code);
      return failure;
    });
  }

  async #loadVersion(
    order: WeightOrder,
    lane: TrainerWeightOrders,
  ): Promise<Result<WeightState, Failure>> {
    const deadline = this.#createDeadline();
    const before = await this.#waitUntilLoaded(order.trainer, deadline);
    if (before.isOk() && before.value.version === order.version) return before;
    const source = await this.#fetch(order, deadline);
    if (source.isErr()) return err(source.error);
    // A newer order may have come while this one waited.
    const accepted = this.#accept(order, lane);
    if (accepted.isErr()) return err(accepted.error);
    const loaded = await this.#deps.engine.load({ ...order, source: source.value });
    const after = await this.#waitUntilLoaded(order.trainer, deadline);
    if (after.isOk() && after.value.version === order.version) return after;
    this.#deps.metrics.countRetry(loaded.isErr() ? loaded.error.code : 'swap_failed');
    if (loaded.isErr()) return err(loaded.error);
    if (after.isErr()) return err(after.error);
    return err(createFailure('swap_failed', { detail: `serves ${after.value.version}` }));
  }

  /** Waits until the engine isn't loading any more. */
  async #waitUntilLoaded(
    trainer: TrainerId,
    deadline: MonoTime,
  ): Promise<Result<WeightState, Failure>> {
    const { clock, pollIntervalMs: pollMs = DEFAULT_POLL_INTERVAL_MS } = this.#deps;
    for (;;) {
      const state = await this.#readState(trainer);
      if (state.isErr() || !state.value.loading) return state;
      if (clock.mono() >= deadline) return err(createFailure('outcome_unknown'));
      await clock.sleep(pollMs);
    }
  }

  #readState(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const lane = this.#ordersOf(trainer);
    return this.#deps.engine.state(trainer).map((state) => {
      lane.onEngineState(state);
      return {
        ...state,
        highestFencing: Math.max(lane.highestFencing ?? -1, state.highestFencing),
      };
    });
  }

  #fetch(order: WeightOrder, deadline: MonoTime): ResultAsync<string, Failure> {
    const lane = this.#ordersOf(order.trainer);
    return lane.fetchOnce(
      order.version,
      () => new ResultAsync(this.#fetchWithRetries(order, deadline)),
    );
  }

  async #fetchWithRetries(
    order: WeightOrder,
    deadline: MonoTime,
  ): Promise<Result<string, Failure>> {
    const { clock, metrics, random, source } = this.#deps;
    for (;;) {
      const fetched = await source.fetch(order.trainer, order.version);
      if (fetched.isOk()) return fetched;
      metrics.countRetry(fetched.error.code);
      const wait = (fetched.error.retryAfterMs ?? STORE_RETRY_DELAY_MS) * (1 + random.fraction());
      if (clock.mono() + wait >= deadline) return fetched;
      await clock.sleep(wait);
      const newest = this.#ordersOf(order.trainer).newestOrder;
      if (newest && newest.version > order.version && newest.fencing >= order.fencing) {
        return err(createFailure('weights_conflict', { detail: `ordered ${newest.version}` }));
      }
    }
  }

  #ordersOf(trainer: TrainerId): TrainerWeightOrders {
    const known = this.#ordersByTrainer.get(trainer);
    if (known) return known;
    const lane = new TrainerWeightOrders();
    this.#ordersByTrainer.set(trainer, lane);
    return lane;
  }

  #createDeadline(): MonoTime {
    const { clock, orderTimeoutMs: orderMs = DEFAULT_ORDER_TIMEOUT_MS } = this.#deps;
    return (clock.mono() + orderMs) as MonoTime;
  }
}
