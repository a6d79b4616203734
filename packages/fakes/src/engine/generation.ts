/** One request's way through the engine stand-in. */
import { createToken } from './tokens';

/** Tokens that one weight version made: from `from` up to but without `to`. */
export interface TokenSegment {
  readonly v: number;
  readonly from: number;
  to: number;
}

/** How a generation ended. */
export type GenerationEnd = 'cancelled' | 'crashed' | 'done';

/** Takes what a generation makes. */
export interface TokenSink {
  send(index: number, text: string, version: number): void;
  /** Whether the reader keeps up. */
  canSend(): boolean;
  finish(generation: Generation, end: GenerationEnd): void;
}

/** What a generation is asked for. */
export interface GenerationSpec {
  readonly requestId: string;
  readonly trainer: string;
  readonly promptHash: number;
  /** Higher ones go first. */
  readonly priority: number;
  /** The index of the first token to make. */
  readonly from: number;
  /** The index behind the last token to make. */
  readonly maxTokens: number;
  /** How many prompt tokens have to be read before the first token. */
  readonly prefill: number;
  /** Steps of the batch for each token. */
  readonly pace: number;
}

/** A request in the batch or in its queue, with the true record of its tokens. */
export class Generation {
  readonly spec: GenerationSpec;

  readonly #sink: TokenSink;

  readonly #segments: TokenSegment[] = [];

  #prefillLeft: number;

  #next: number;

  #steps = 0;

  /**
   * @param spec - what is asked for
   * @param sink - takes the tokens
   */
  constructor(spec: GenerationSpec, sink: TokenSink) {
    this.spec = spec;
    this.#sink = sink;
    this.#prefillLeft = spec.prefill;
    this.#next = spec.from;
  }

  /** The index of the next token. */
  get next(): number {
    return this.#next;
  }

  /** Which weight version made which tokens. */
  get segments(): readonly TokenSegment[] {
    return this.#segments;
  }

  /** Whether all tokens are made. */
  get isDone(): boolean {
    return this.#prefillLeft <= 0 && this.#next >= this.spec.maxTokens;
  }

  /**
   * Takes part in one step of the batch.
   *
   * @param version - the weight version in force
   * @param prefillTokens - how many prompt tokens a step reads
   */
  advance(version: number, prefillTokens: number): void {
    if (!this.#sink.canSend()) return;
    if (this.#prefillLeft > 0) {
      this.#prefillLeft -= prefillTokens;
      return;
    }
    this.#steps += 1;
    if (this.#steps % this.spec.pace === 0 && !this.isDone) this.#emit(version);
  }

  /** Tells the sink that no further token comes. */
  finish(end: GenerationEnd): void {
    this.#sink.finish(this, end);
  }

  #emit(version: number): void {
    const index = this.#next;
    this.#next += 1;
    const last = this.#segments.at(-1);
    if (last?.v === version) last.to = this.#next;
    else this.#segments.push({ v: version, from: index, to: this.#next });
    this.#sink.send(index, createToken(this.spec.promptHash, index), version);
  }
}
