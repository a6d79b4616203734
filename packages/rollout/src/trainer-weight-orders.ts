/** The orders that a target has taken from one trainer. */
import { createFailure, type Failure, type WeightVersion } from '@hibiscushill/base';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';

import type { WeightOrder, WeightState } from './weight-orders';

interface WeightFetch {
  readonly version: WeightVersion;
  readonly source: ResultAsync<string, Failure>;
}

/** Remembers the highest fencing number and the newest order, and takes orders one at a time. */
export class TrainerWeightOrders {
  #highestFencing: number | undefined;

  #newestOrder: WeightOrder | undefined;

  #servedVersion: WeightVersion | undefined;

  #fetch: WeightFetch | undefined;

  #lastTask: Promise<unknown> = Promise.resolve();

  /** The highest fencing number known, or undefined until it was learnt. */
  get highestFencing(): number | undefined {
    return this.#highestFencing;
  }

  /** The newest order that was taken. */
  get newestOrder(): WeightOrder | undefined {
    return this.#newestOrder;
  }

  /** The version that the engine said it serves when it was last asked. */
  get servedVersion(): WeightVersion | undefined {
    return this.#servedVersion;
  }

  /** Raises the highest fencing number known. */
  raiseHighestFencing(fencing: number): void {
    this.#highestFencing = Math.max(this.#highestFencing ?? -1, fencing);
  }

  /** Notes what the engine said. */
  onEngineState(state: WeightState): void {
    if (!state.loading) this.#servedVersion = state.version;
    if (this.#highestFencing !== undefined) this.raiseHighestFencing(state.highestFencing);
  }

  /**
   * Checks an order against those that were taken before, and takes it.
   *
   * @param order - the order
   * @returns nothing, or why the order is refused
   */
  accept(order: WeightOrder): Result<void, Failure> {
    const highest = this.#highestFencing ?? -1;
    if (order.fencing < highest) {
      return err(createFailure('fencing_stale', { detail: `highest ${highest}` }));
    }
    const wanted = this.#newestOrder;
    if (wanted && wanted.fencing === order.fencing && wanted.version > order.version) {
      return err(createFailure('weights_conflict', { detail: `ordered ${wanted.version}` }));
    }
    this.#highestFencing = order.fencing;
    this.#newestOrder = order;
    return ok(undefined);
  }

  /** Runs a task after those that were given before. */
  runInOrder<T>(task: () => Promise<T>): Promise<T> {
    const turn = this.#lastTask.then(task);
    this.#lastTask = turn;
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
