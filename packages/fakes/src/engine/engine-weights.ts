/** The weights that the engine stand-in holds, and the orders that change them. */
import type { RandomSource } from '@hibiscushill/base';
import { z } from 'zod';

import type { History } from '../history';
import { sleep } from '../stand-in';
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

/** How an order ended. No status means no answer. */
export interface SwapOutcome {
  readonly status?: 200 | 409 | 500;
  readonly body: object;
}

class Holding {
  readonly done = new Set<string>();

  version = 0;

  highest = -1;

  loading = 0;

  turn: Promise<unknown> = Promise.resolve();

  raise(fencing: number): void {
    this.highest = Math.max(this.highest, fencing);
  }

  async load(ms: number): Promise<void> {
    this.loading += 1;
    await sleep(ms);
    this.loading -= 1;
  }

  adopt(order: SwapOrder): void {
    this.version = order.version;
    this.done.add(order.order);
  }

  enqueue<T>(work: () => Promise<T>): Promise<T> {
    const result = this.turn.then(work);
    this.turn = result;
    return result;
  }
}

/** The weight versions by trainer. */
export class EngineWeights {
  readonly #history: History;

  readonly #random: RandomSource;

  #holdings = new Map<string, Holding>();

  /**
   * @param history - keeps every order and its end
   * @param random - draws which orders fail
   */
  constructor(history: History, random: RandomSource) {
    this.#history = history;
    this.#random = random;
  }

  /** The version that makes a trainer's tokens now. */
  version(trainer: string): number {
    return this.#holdings.get(trainer)?.version ?? 0;
  }

  /** Whether a trainer's requests stand still. */
  isLoading(trainer: string): boolean {
    return (this.#holdings.get(trainer)?.loading ?? 0) > 0;
  }

  /** Describes a trainer's weights. */
  describe(trainer: string): { version: number; highestFencing: number; loading: boolean } {
    const highestFencing = this.#holdings.get(trainer)?.highest ?? -1;
    return { version: this.version(trainer), highestFencing, loading: this.isLoading(trainer) };
  }

  /**
   * Carries an order out, after those that came before it.
   *
   * @param order - the order
   * @param settings - speed and faults
   * @returns how it ended
   */
  swap(order: SwapOrder, settings: EngineSettings): Promise<SwapOutcome> {
    const holding = this.#holding(order.trainer);
    return holding.enqueue(() => this.#swap(holding, order, settings));
  }

  /** Forgets everything, as a crash does. */
  clear(): void {
    this.#holdings = new Map();
  }

  async #swap(holding: Holding, order: SwapOrder, settings: EngineSettings): Promise<SwapOutcome> {
    const { highest } = holding;
    if (settings.checkFencing && order.fencing < highest) {
      this.#note(order, 'refused', highest);
      return { status: 409, body: { highest } };
    }
    holding.raise(order.fencing);
    if (holding.done.has(order.order)) {
      this.#note(order, 'repeated', highest);
      return { status: 200, body: { version: holding.version } };
    }
    const isFailed = this.#random.fraction() < settings.failSwaps;
    const isUnanswered = this.#random.fraction() < settings.unansweredSwaps;
    const isLost = isUnanswered && this.#random.fraction() < 0.5;
    await holding.load(settings.loadMs);
    if (isFailed || isLost) {
      this.#note(order, isLost ? 'unanswered-failed' : 'failed', highest);
      return isLost ? { body: {} } : { status: 500, body: { error: 'load failed' } };
    }
    holding.adopt(order);
    this.#note(order, isUnanswered ? 'unanswered-loaded' : 'loaded', highest);
    return isUnanswered ? { body: {} } : { status: 200, body: { version: order.version } };
  }

  #note(order: SwapOrder, outcome: string, highest: number): void {
    const { trainer, version, fencing, order: id } = order;
    this.#history.add({ op: 'swap', trainer, version, fencing, order: id, outcome, highest });
  }

  #holding(trainer: string): Holding {
    let holding = this.#holdings.get(trainer);
    if (!holding) {
      holding = new Holding();
      this.#holdings.set(trainer, holding);
    }
    return holding;
  }
}
