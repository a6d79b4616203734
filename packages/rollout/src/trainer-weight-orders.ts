/** The weight orders that a target has accepted for one trainer. */
import { createFailure, type Failure, type WeightVersion } from '@hibiscushill/base';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';

import type { WeightOrder, WeightState } from './weight-orders';

interface WeightFetch {
  readonly version: WeightVersion;
  readonly source: ResultAsync<string, Failure>;
}

/**
 * Holds the highest fencing number, the newest order and the served version of a trainer at a
 * target, and carries out the trainer's orders one at a time.
 */
export class TrainerWeightOrders {
  #highestFencing: number | undefined;

  #newestOrder: WeightOrder | undefined;

  #servedVersion: WeightVersion | undefined;

  #fetch: WeightFetch | undefined;

  #lastTask: Promise<unknown> = Promise.resolve();

  /** The highest known fencing number, or undefined before `raiseHighestFencing`. */
  get highestFencing(): number | undefined {
    return this.#highestFencing;
  }

  /** The order that was accepted last. */
  get newestOrder(): WeightOrder | undefined {
    return this.#newestOrder;
  }

  /** The version that the engine served when its state was last read, if it wasn't loading. */
  get servedVersion(): WeightVersion | undefined {
    return this.#servedVersion;
  }

  /** Raises the highest known fencing number to a number, if that is higher. */
  raiseHighestFencing(fencing: number): void {
    this.#highestFencing = Math.max(this.#highestFencing ?? -1, fencing);
  }

  /** Records the version and the fencing number that the engine has reported. */
  onEngineState(state: WeightState): void {
    if (!state.loading) this.#servedVersion = state.version;
    if (this.#highestFencing !== undefined) this.raiseHighestFencing(state.highestFencing);
  }

  /**
   * Accepts an order unless earlier orders forbid it.
   *
   * @param order - the order
   * @returns nothing when it is accepted; `fencing_stale` if its fencing number isn't the highest,
   *   `weights_conflict` if the same owner has ordered a newer version
   */
  accept(order: WeightOrder): Result<void, Failure> {
    const highest = this.#highestFencing ?? -1;
    if (order.fencing < highest) {
      return err(
        createFailure('fencing_stale', { detail: `the highest fencing number is ${highest}` }),
      );
    }
    const newest = this.#newestOrder;
    if (newest && newest.fencing === order.fencing && newest.version > order.version) {
      return err(
        createFailure('weights_conflict', { detail: `version ${newest.version} has been ordered` }),
      );
    }
    this.#highestFencing = order.fencing;
    this.#newestOrder = order;
    return ok(undefined);
  }

  /** Runs a task after all earlier tasks have ended. */
  runInOrder<T>(task: () => Promise<T>): Promise<T> {
    const result = this.#lastTask.then(task);
    this.#lastTask = result;
    return result;
  }

  /**
   * Fetches a version once, so that its prefetch and its order share the fetch.
   *
   * @param version - the version
   * @param fetch - fetches the version
   * @returns where the weights are, or the failure; after a failure, the next call fetches again
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
