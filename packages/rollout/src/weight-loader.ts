/** Loads ordered weight versions into the agent's engine and refuses orders of former owners. */
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

import type { EngineWeightsClient, WeightFetcher } from './engine-weights';
import { TrainerWeightOrders } from './trainer-weight-orders';
import type { WeightOrder, WeightState } from './weight-orders';

/** The engine, the source of its weights, and the timeouts of orders. */
export interface WeightLoaderDeps {
  readonly engine: EngineWeightsClient;
  readonly fetcher: WeightFetcher;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /**
   * Reads the highest fencing number of a trainer, or -1. It is called before the first order of
   * each trainer is accepted, in addition to asking the engine, which may not remember the number.
   */
  readonly readHighestFencing?: (trainer: TrainerId) => ResultAsync<number, Failure>;
  /** How long one order may take in total, in milliseconds. Default 30,000. */
  readonly orderTimeoutMs?: Millis;
  /** How often the state of a loading engine is read, in milliseconds. Default 100. */
  readonly pollIntervalMs?: Millis;
}

/** A version that a target serves for a trainer. */
export interface ServedVersion {
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
}

const DEFAULT_ORDER_TIMEOUT_MS: Millis = 30_000;
const DEFAULT_POLL_INTERVAL_MS: Millis = 100;
/** The shortest delay before a fetch is retried, if the store doesn't name one. */
const STORE_RETRY_DELAY_MS: Millis = 500;

/** Carries out weight orders on one engine, one at a time for each trainer. */
export class WeightLoader {
  readonly #deps: WeightLoaderDeps;

  readonly #ordersByTrainer = new Map<TrainerId, TrainerWeightOrders>();

  /** @param deps - the engine, the source of its weights, and the timeouts of orders */
  constructor(deps: WeightLoaderDeps) {
    this.#deps = deps;
  }

  /** The versions that the engine served when its state was last read. */
  get servedVersions(): ServedVersion[] {
    return [...this.#ordersByTrainer].flatMap(([trainer, { servedVersion }]) =>
      servedVersion === undefined ? [] : [{ trainer, version: servedVersion }],
    );
  }

  /**
   * Carries out an order. The call is idempotent.
   *
   * @param order - the order
   * @returns the engine's state once it serves the version; `fencing_stale` for an order of a
   *   former owner, `weights_conflict` if a newer version has been ordered, `swap_failed` or
   *   `outcome_unknown` if the engine doesn't serve the version, or a failure to fetch it
   */
  apply(order: WeightOrder): ResultAsync<WeightState, Failure> {
    return new ResultAsync(this.#apply(order));
  }

  /**
   * Fetches a version before it is ordered, without any call to the engine.
   *
   * @param order - the order that will follow
   * @returns nothing once the version was fetched
   */
  prefetch(order: WeightOrder): ResultAsync<void, Failure> {
    return this.#fetch(order, this.#createDeadline()).map(() => undefined);
  }

  /**
   * Reads the state of the engine's weights for a trainer.
   *
   * @param trainer - the trainer
   * @returns the state, with the highest fencing number that the agent or the engine has received
   */
  queryState(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    return this.#readState(trainer);
  }

  /** Reads the engine's state for all known trainers, since a load may take effect late. */
  async refreshStates(): Promise<void> {
    await Promise.all([...this.#ordersByTrainer.keys()].map((trainer) => this.#readState(trainer)));
  }

  async #apply(order: WeightOrder): Promise<Result<WeightState, Failure>> {
    const orders = this.#ordersOf(order.trainer);
    const learned = await this.#learnHighestFencing(order.trainer, orders);
    if (learned.isErr()) return err(learned.error);
    const accepted = this.#accept(order, orders);
    if (accepted.isErr()) return err(accepted.error);
    return orders.runInOrder(() => this.#loadVersion(order, orders));
  }

  async #learnHighestFencing(
    trainer: TrainerId,
    orders: TrainerWeightOrders,
  ): Promise<Result<void, Failure>> {
    if (orders.highestFencing !== undefined) return ok(undefined);
    const { readHighestFencing } = this.#deps;
    const highest = readHighestFencing
      ? await readHighestFencing(trainer)
      : ok<number, Failure>(-1);
    if (highest.isErr()) return err(highest.error);
    const state = await this.#readState(trainer);
    if (state.isErr()) return err(state.error);
    orders.raiseHighestFencing(Math.max(highest.value, state.value.highestFencing));
    return ok(undefined);
  }

  #accept(order: WeightOrder, orders: TrainerWeightOrders): Result<void, Failure> {
    return orders.accept(order).mapErr((failure) => {
      this.#deps.metrics.countRefusal(failure.code);
      return failure;
    });
  }

  async #loadVersion(
    order: WeightOrder,
    orders: TrainerWeightOrders,
  ): Promise<Result<WeightState, Failure>> {
    const deadline = this.#createDeadline();
    const before = await this.#waitUntilLoaded(order.trainer, deadline);
    if (before.isOk() && before.value.version === order.version) return before;
    const source = await this.#fetch(order, deadline);
    if (source.isErr()) return err(source.error);
    // A newer order may have been accepted during the fetch.
    const accepted = this.#accept(order, orders);
    if (accepted.isErr()) return err(accepted.error);
    const loaded = await this.#deps.engine.load({ ...order, source: source.value });
    const after = await this.#waitUntilLoaded(order.trainer, deadline);
    if (after.isOk() && after.value.version === order.version) return after;
    this.#deps.metrics.countRetry(loaded.isErr() ? loaded.error.code : 'swap_failed');
    if (loaded.isErr()) return err(loaded.error);
    if (after.isErr()) return err(after.error);
    return err(
      createFailure('swap_failed', { detail: `the engine serves version ${after.value.version}` }),
    );
  }

  /** Reads the engine's state until it isn't loading; `outcome_unknown` after the deadline. */
  async #waitUntilLoaded(
    trainer: TrainerId,
    deadline: MonoTime,
  ): Promise<Result<WeightState, Failure>> {
    const { clock, pollIntervalMs = DEFAULT_POLL_INTERVAL_MS } = this.#deps;
    for (;;) {
      const state = await this.#readState(trainer);
      if (state.isErr() || !state.value.loading) return state;
      if (clock.mono() >= deadline) return err(createFailure('outcome_unknown'));
      await clock.sleep(pollIntervalMs);
    }
  }

  #readState(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const orders = this.#ordersOf(trainer);
    return this.#deps.engine.readState(trainer).map((state) => {
      orders.onEngineState(state);
      return {
        ...state,
        highestFencing: Math.max(orders.highestFencing ?? -1, state.highestFencing),
      };
    });
  }

  #fetch(order: WeightOrder, deadline: MonoTime): ResultAsync<string, Failure> {
    const orders = this.#ordersOf(order.trainer);
    return orders.fetchOnce(
      order.version,
      () => new ResultAsync(this.#fetchWithRetries(order, deadline)),
    );
  }

  async #fetchWithRetries(
    order: WeightOrder,
    deadline: MonoTime,
  ): Promise<Result<string, Failure>> {
    const { clock, metrics, random, fetcher } = this.#deps;
    for (;;) {
      const fetched = await fetcher.fetch(order.trainer, order.version);
      if (fetched.isOk()) return fetched;
      metrics.countRetry(fetched.error.code);
      const delayMs =
        (fetched.error.retryAfterMs ?? STORE_RETRY_DELAY_MS) * (1 + random.fraction());
      if (clock.mono() + delayMs >= deadline) return fetched;
      await clock.sleep(delayMs);
      const newest = this.#ordersOf(order.trainer).newestOrder;
      if (newest && newest.version > order.version && newest.fencing >= order.fencing) {
        return err(
          createFailure('weights_conflict', {
            detail: `version ${newest.version} has been ordered`,
          }),
        );
      }
    }
  }

  #ordersOf(trainer: TrainerId): TrainerWeightOrders {
    const known = this.#ordersByTrainer.get(trainer);
    if (known) return known;
    const orders = new TrainerWeightOrders();
    this.#ordersByTrainer.set(trainer, orders);
    return orders;
  }

  #createDeadline(): MonoTime {
    const { clock, orderTimeoutMs = DEFAULT_ORDER_TIMEOUT_MS } = this.#deps;
    return (clock.mono() + orderTimeoutMs) as MonoTime;
  }
}
