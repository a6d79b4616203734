/** Continuous batching: each step gives every running request one token. */
import type { Generation, GenerationEnd } from './generation';
import type { EngineSettings } from './settings';

/** What a batch asks about weights. */
export interface WeightSource {
  version(trainer: string): number;
  isLoading(trainer: string): boolean;
}

/** The running requests and those that wait for a slot. */
export class Batch {
  readonly #weights: WeightSource;

  readonly #settings: () => EngineSettings;

  readonly #running = new Set<Generation>();

  #queue: Generation[] = [];

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param weights - the weights that make the tokens
   * @param settings - reads the size and speed in force
   */
  constructor(weights: WeightSource, settings: () => EngineSettings) {
    this.#weights = weights;
    this.#settings = settings;
  }

  /** How many requests run. */
  get running(): number {
    return this.#running.size;
  }

  /** How many requests wait. */
  get queued(): number {
    return this.#queue.length;
  }

  /** The requests that run or wait. */
  get generations(): readonly Generation[] {
    return [...this.#running, ...this.#queue];
  }

  /** Adds a request behind those of its priority or a higher one. */
  add(generation: Generation): void {
    const place = this.#queue.findIndex((other) => other.spec.priority < generation.spec.priority);
    this.#queue.splice(place === -1 ? this.#queue.length : place, 0, generation);
    this.#timer ??= setTimeout(() => this.#step(), this.#settings().tokenMs);
  }

  /** Takes a request out, if it is still there. */
  end(generation: Generation, end: GenerationEnd): void {
    const place = this.#queue.indexOf(generation);
    if (place !== -1) this.#queue.splice(place, 1);
    else if (!this.#running.delete(generation)) return;
    generation.finish(end);
  }

  /** Ends all requests. */
  clear(end: GenerationEnd): void {
    this.generations.forEach((generation) => this.end(generation, end));
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #step(): void {
    this.#admit();
    [...this.#running].forEach((generation) => this.#advance(generation));
    const isIdle = this.#running.size + this.#queue.length === 0;
    this.#timer = isIdle ? undefined : setTimeout(() => this.#step(), this.#settings().tokenMs);
  }

  #admit(): void {
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
