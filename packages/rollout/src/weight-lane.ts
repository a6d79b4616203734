/** The orders that a target has taken from one trainer. */
import { createFailure, type Failure, type WeightVersion } from '@hibiscushill/base';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';

import type { WeightOrder, WeightState } from './weight-orders';

interface Fetch {
  readonly version: WeightVersion;
  readonly source: ResultAsync<string, Failure>;
}

/** Remembers the highest fencing number and the newest order, and takes orders one at a time. */
export class WeightLane {
  #highest: number | undefined;

  #wanted: WeightOrder | undefined;

  #served: WeightVersion | undefined;

  #fetch: Fetch | undefined;

  #turn: Promise<unknown> = Promise.resolve();

  /** The highest fencing number known, or undefined until it was learnt. */
  get highest(): number | undefined {
    return this.#highest;
  }

  /** The newest order that was taken. */
  get wanted(): WeightOrder | undefined {
    return this.#wanted;
  }

  /** The version that the engine said it serves when it was last asked. */
  get served(): WeightVersion | undefined {
    return this.#served;
  }

  /** Raises the highest fencing number known. */
  learn(fencing: number): void {
    this.#highest = Math.max(this.#highest ?? -1, fencing);
  }

  /** Notes what the engine said. */
  observe(state: WeightState): void {
    if (!state.loading) this.#served = state.version;
    if (this.#highest !== undefined) this.learn(state.highestFencing);
  }

  /**
   * Checks an order against those that were taken before, and takes it.
   *
   * @param order - the order
   * @returns nothing, or why the order is refused
   */
  accept(order: WeightOrder): Result<void, Failure> {
    const highest = this.#highest ?? -1;
    if (order.fencing < highest) {
      return err(createFailure('fencing_stale', { detail: `highest ${highest}` }));
    }
    const wanted = this.#wanted;
    if (wanted && wanted.fencing === order.fencing && wanted.version > order.version) {
      return err(createFailure('weights_conflict', { detail: `ordered ${wanted.version}` }));
    }
    this.#highest = order.fencing;
    this.#wanted = order;
    return ok(undefined);
  }

  /** Runs a task after those that were given before. */
  inTurn<T>(task: () => Promise<T>): Promise<T> {
    const turn = this.#turn.then(task);
    this.#turn = turn;
    return turn;
  }

  /**
   * Fetches a version once, for its prepare and its order together.
   *
   * @param version - the version
   * @param fetch - fetches it
   * @returns where the weights are; a failed fetch is forgotten
   */
  fetchOnce(
    version: WeightVersion,
    fetch: () => ResultAsync<string, Failure>,
  ): ResultAsync<string, Failure> {
    if (this.#fetch?.version === version) return this.#fetch.source;
    const source = fetch();
    this.#fetch = { version, source };
    return source.mapErr((failure) => {
      if (this.#fetch?.source === source) this.#fetch = undefined;
      return failure;
    });
  }
}
