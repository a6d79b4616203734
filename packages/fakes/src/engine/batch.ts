/** Continuous batching: each step generates one token for every running request. */
import type { Generation, GenerationEnd } from './generation';
import type { EngineSettings } from './settings';

/** The weights that a batch generates tokens with. */
export interface TrainerWeights {
  /** The current weight version of a trainer. */
  version(trainer: string): number;
  /** Whether weights of a trainer are being loaded. */
  isLoading(trainer: string): boolean;
}

/** The running requests and the queue of those that wait for a slot. */
export class Batch {
  readonly #weights: TrainerWeights;

  readonly #settings: () => EngineSettings;

  readonly #running = new Set<Generation>();

  #queue: Generation[] = [];

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param weights - the weights that tokens are generated with
   * @param settings - returns the current settings
   */
  constructor(weights: TrainerWeights, settings: () => EngineSettings) {
    this.#weights = weights;
    this.#settings = settings;
  }

  /** The number of running requests. */
  get running(): number {
    return this.#running.size;
  }

  /** The number of queued requests. */
  get queued(): number {
    return this.#queue.length;
  }

  /** The running requests, then the queued ones. */
  get generations(): readonly Generation[] {
    return [...this.#running, ...this.#queue];
  }

  /** Queues a request behind those of the same or a higher priority. */
  add(generation: Generation): void {
    const index = this.#queue.findIndex((other) => other.spec.priority < generation.spec.priority);
    this.#queue.splice(index === -1 ? this.#queue.length : index, 0, generation);
    this.#timer ??= setTimeout(() => this.#runStep(), this.#settings().tokenMs);
  }

  /** Removes a request and finishes it, unless it has ended already. */
  end(generation: Generation, end: GenerationEnd): void {
    const index = this.#queue.indexOf(generation);
    if (index !== -1) this.#queue.splice(index, 1);
    else if (!this.#running.delete(generation)) return;
    generation.finish(end);
  }

  /** Finishes all requests and stops the timer. */
  clear(end: GenerationEnd): void {
    this.generations.forEach((generation) => this.end(generation, end));
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #runStep(): void {
    this.#fillSlots();
    [...this.#running].forEach((generation) => this.#advance(generation));
    const isIdle = this.#running.size + this.#queue.length === 0;
    this.#timer = isIdle ? undefined : setTimeout(() => this.#runStep(), this.#settings().tokenMs);
  }

  #fillSlots(): void {
    while (this.#running.size < this.#settings().slots) {
      const next = this.#queue.shift();
      if (!next) return;
      this.#running.add(next);
    }
  }

  #advance(generation: Generation): void {
    const { trainer } = generation.spec;
    if (this.#weights.isLoading(trainer)) return;
    generation.advance(this.#weights.version(trainer), this.#settings().prefillTokens);
    if (generation.isDone) this.end(generation, 'done');
  }
}
