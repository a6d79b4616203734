/** The weights that the fake engine has loaded, and the orders that swap them. */
import type { RandomSource } from '@hibiscushill/base';
import { z } from 'zod';

import { sleep } from '../fake-service';
import type { History } from '../history';
import type { EngineSettings } from './settings';

/** An order to load a weight version. */
export const SwapOrder = z.object({
  trainer: z.string().min(1),
  version: z.number().int().min(0),
  fencing: z.number().int(),
  order: z.string().min(1),
  source: z.unknown().optional(),
});

/** An order to load a weight version. */
export type SwapOrder = z.infer<typeof SwapOrder>;

/** The response to an order. No status means that none is sent. */
export interface SwapOutcome {
  readonly status?: 200 | 409 | 500;
  readonly body: object;
}

/** The loaded weights of one trainer. */
class LoadedWeights {
  /** The ids of the orders that were carried out. */
  readonly completedOrders = new Set<string>();

  version = 0;

  /** The highest fencing number of an order, or -1. */
  highestFencing = -1;

  /** The number of loads in progress. */
  activeLoads = 0;

  /** Settles when the last queued order has ended. */
  lastOrder: Promise<unknown> = Promise.resolve();

  raiseFencing(fencing: number): void {
    this.highestFencing = Math.max(this.highestFencing, fencing);
  }

  /** Simulates a load. */
  async load(ms: number): Promise<void> {
    this.activeLoads += 1;
    await sleep(ms);
    this.activeLoads -= 1;
  }

  applyOrder(order: SwapOrder): void {
    this.version = order.version;
    this.completedOrders.add(order.order);
  }

  enqueue<T>(work: () => Promise<T>): Promise<T> {
    const result = this.lastOrder.then(work);
    this.lastOrder = result;
    return result;
  }
}

/** The loaded weights of all trainers. */
export class EngineWeights {
  readonly #history: History;

  readonly #random: RandomSource;

  #loadedByTrainer = new Map<string, LoadedWeights>();

  /**
   * @param history - records every order and its outcome
   * @param random - decides which orders fail
   */
  constructor(history: History, random: RandomSource) {
    this.#history = history;
    this.#random = random;
  }

  /** The weight version that generates a trainer's tokens; 0 if none was loaded. */
  version(trainer: string): number {
    return this.#loadedByTrainer.get(trainer)?.version ?? 0;
  }

  /** Whether weights of a trainer are being loaded, which pauses its requests. */
  isLoading(trainer: string): boolean {
    return (this.#loadedByTrainer.get(trainer)?.activeLoads ?? 0) > 0;
  }

  /** Describes a trainer's weights, as JSON for `GET /weights`. */
  describe(trainer: string): { version: number; highestFencing: number; loading: boolean } {
    const highestFencing = this.#loadedByTrainer.get(trainer)?.highestFencing ?? -1;
    return { version: this.version(trainer), highestFencing, loading: this.isLoading(trainer) };
  }

  /**
   * Carries out an order, after the earlier ones of its trainer.
   *
   * @param order - the order
   * @param settings - the time of a load and the faults
   * @returns the response
   */
  swap(order: SwapOrder, settings: EngineSettings): Promise<SwapOutcome> {
    const loaded = this.#getLoaded(order.trainer);
    return loaded.enqueue(() => this.#executeSwap(loaded, order, settings));
  }

  /** Removes all weights, as a crash does. */
  clear(): void {
    this.#loadedByTrainer = new Map();
  }

  async #executeSwap(
    loaded: LoadedWeights,
    order: SwapOrder,
    settings: EngineSettings,
  ): Promise<SwapOutcome> {
    const { highestFencing } = loaded;
    if (settings.checkFencing && order.fencing < highestFencing) {
      this.#recordSwap(order, 'refused', highestFencing);
      return { status: 409, body: { highest: highestFencing } };
    }
    loaded.raiseFencing(order.fencing);
    if (loaded.completedOrders.has(order.order)) {
      this.#recordSwap(order, 'repeated', highestFencing);
      return { status: 200, body: { version: loaded.version } };
    }
    const isFailed = this.#random.fraction() < settings.failSwaps;
    const isUnanswered = this.#random.fraction() < settings.unansweredSwaps;
    const isLost = isUnanswered && this.#random.fraction() < 0.5;
    await loaded.load(settings.loadMs);
    if (isFailed || isLost) {
      this.#recordSwap(order, isLost ? 'unanswered-failed' : 'failed', highestFencing);
      return isLost ? { body: {} } : { status: 500, body: { error: 'load failed' } };
    }
    loaded.applyOrder(order);
    this.#recordSwap(order, isUnanswered ? 'unanswered-loaded' : 'loaded', highestFencing);
    return isUnanswered ? { body: {} } : { status: 200, body: { version: order.version } };
  }

  #recordSwap(order: SwapOrder, outcome: string, highest: number): void {
    const { trainer, version, fencing, order: id } = order;
    this.#history.add({ op: 'swap', trainer, version, fencing, order: id, outcome, highest });
  }

  #getLoaded(trainer: string): LoadedWeights {
    let loaded = this.#loadedByTrainer.get(trainer);
    if (!loaded) {
      loaded = new LoadedWeights();
      this.#loadedByTrainer.set(trainer, loaded);
    }
    return loaded;
  }
}
