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
import { WeightLane } from './weight-lane';
import type { WeightOrder, WeightState } from './weight-orders';

/** What an applier needs. */
export interface WeightApplierDeps {
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
  readonly orderMs?: Millis;
  /** How often a loading engine is asked whether it is done, in milliseconds. */
  readonly pollMs?: Millis;
}

/** A version that a target serves for a trainer. */
export interface ServedVersion {
  readonly trainer: TrainerId;
  readonly version: WeightVersion;
}

const DEFAULT_ORDER_MS: Millis = 30_000;
const DEFAULT_POLL_MS: Millis = 100;
const BUSY_STORE_MS: Millis = 500;

/** Takes weight orders for one engine, one at a time for each trainer. */
export class WeightApplier {
  readonly #deps: WeightApplierDeps;

  readonly #lanes = new Map<TrainerId, WeightLane>();

  /** @param deps - the engine, the store and how to learn fencing numbers */
  constructor(deps: WeightApplierDeps) {
    this.#deps = deps;
  }

  /** The versions that the engine said it serves when it was last asked. */
  get versions(): ServedVersion[] {
    return [...this.#lanes].flatMap(([trainer, { served }]) =>
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
  prepare(order: WeightOrder): ResultAsync<void, Failure> {
    return this.#fetch(order, this.#deadline()).map(() => undefined);
  }

  /**
   * Asks the engine what it serves for a trainer.
   *
   * @param trainer - the trainer
   * @returns its state, with the highest fencing number that either has seen
   */
  query(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    return this.#ask(trainer);
  }

  /** Asks the engine again about every trainer, so that `versions` shows a late load. */
  async refresh(): Promise<void> {
    await Promise.all([...this.#lanes.keys()].map((trainer) => this.#ask(trainer)));
  }

  async #apply(order: WeightOrder): Promise<Result<WeightState, Failure>> {
    const lane = this.#lane(order.trainer);
    const learnt = await this.#learn(order.trainer, lane);
    if (learnt.isErr()) return err(learnt.error);
    const accepted = this.#accept(order, lane);
    if (accepted.isErr()) return err(accepted.error);
    return lane.inTurn(() => this.#carryOut(order, lane));
  }

  async #learn(trainer: TrainerId, lane: WeightLane): Promise<Result<void, Failure>> {
    if (lane.highest !== undefined) return ok(undefined);
    const { learn } = this.#deps;
    const others = learn ? await learn(trainer) : ok<number, Failure>(-1);
    if (others.isErr()) return err(others.error);
    const state = await this.#ask(trainer);
    if (state.isErr()) return err(state.error);
    lane.learn(Math.max(others.value, state.value.highestFencing));
    return ok(undefined);
  }

  #accept(order: WeightOrder, lane: WeightLane): Result<void, Failure> {
    return lane.accept(order).mapErr((failure) => {
      this.#deps.metrics.countRefusal(failure.code);
      return failure;
    });
  }

  async #carryOut(order: WeightOrder, lane: WeightLane): Promise<Result<WeightState, Failure>> {
    const deadline = this.#deadline();
    const before = await this.#settled(order.trainer, deadline);
    if (before.isOk() && before.value.version === order.version) return before;
    const source = await this.#fetch(order, deadline);
    if (source.isErr()) return err(source.error);
    // A newer order may have come while this one waited.
    const accepted = this.#accept(order, lane);
    if (accepted.isErr()) return err(accepted.error);
    const loaded = await this.#deps.engine.load({ ...order, source: source.value });
    const after = await this.#settled(order.trainer, deadline);
    if (after.isOk() && after.value.version === order.version) return after;
    this.#deps.metrics.countRetry(loaded.isErr() ? loaded.error.code : 'swap_failed');
    if (loaded.isErr()) return err(loaded.error);
    if (after.isErr()) return err(after.error);
    return err(createFailure('swap_failed', { detail: `serves ${after.value.version}` }));
  }

  /** Waits until the engine isn't loading any more. */
  async #settled(trainer: TrainerId, deadline: MonoTime): Promise<Result<WeightState, Failure>> {
    const { clock, pollMs = DEFAULT_POLL_MS } = this.#deps;
    for (;;) {
      const state = await this.#ask(trainer);
      if (state.isErr() || !state.value.loading) return state;
      if (clock.mono() >= deadline) return err(createFailure('outcome_unknown'));
      await clock.sleep(pollMs);
    }
  }

  #ask(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const lane = this.#lane(trainer);
    return this.#deps.engine.state(trainer).map((state) => {
      lane.observe(state);
      return { ...state, highestFencing: Math.max(lane.highest ?? -1, state.highestFencing) };
    });
  }

  #fetch(order: WeightOrder, deadline: MonoTime): ResultAsync<string, Failure> {
    const lane = this.#lane(order.trainer);
    return lane.fetchOnce(order.version, () => new ResultAsync(this.#fetchInTurn(order, deadline)));
  }

  async #fetchInTurn(order: WeightOrder, deadline: MonoTime): Promise<Result<string, Failure>> {
    const { clock, metrics, random, source } = this.#deps;
    for (;;) {
      const fetched = await source.fetch(order.trainer, order.version);
      if (fetched.isOk()) return fetched;
      metrics.countRetry(fetched.error.code);
      const wait = (fetched.error.retryAfterMs ?? BUSY_STORE_MS) * (1 + random.fraction());
      if (clock.mono() + wait >= deadline) return fetched;
      await clock.sleep(wait);
      const newest = this.#lane(order.trainer).wanted;
      if (newest && newest.version > order.version && newest.fencing >= order.fencing) {
        return err(createFailure('weights_conflict', { detail: `ordered ${newest.version}` }));
      }
    }
  }

  #lane(trainer: TrainerId): WeightLane {
    const known = this.#lanes.get(trainer);
    if (known) return known;
    const lane = new WeightLane();
    this.#lanes.set(trainer, lane);
    return lane;
  }

  #deadline(): MonoTime {
    const { clock, orderMs = DEFAULT_ORDER_MS } = this.#deps;
    return (clock.mono() + orderMs) as MonoTime;
  }
}
