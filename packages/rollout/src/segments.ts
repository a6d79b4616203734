/** Tokens with the weight versions that produced them, read from an engine's answer. */
import { createHash } from 'node:crypto';

import { createFailure, type Failure, type WeightVersion } from '@hibiscushill/base';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** A run of tokens that one weight version produced: from `fromToken` up to but without `toToken`. */
export interface Segment {
  readonly version: WeightVersion;
  readonly fromToken: number;
  readonly toToken: number;
}

/** Tokens from the first on, and the versions that the engine named for each. */
export interface TokenRun {
  readonly tokens: readonly string[];
  readonly segments: readonly Segment[];
}

/** How a collector is set up. */
export interface SegmentCollectorOptions {
  /** The tokens that an earlier, broken answer already gave. */
  readonly resume?: TokenRun;
  /** The first token's index, for a reader of a resumed answer that lacks the tokens before it. */
  readonly from?: number;
  /** The longest line that is taken, in bytes. */
  readonly maxLineBytes?: number;
}

const DEFAULT_MAX_LINE_BYTES = 64 * 1024;

const TokenLine = z.object({
  i: z.number().int().min(0),
  t: z.string(),
  v: z.number().int().min(0),
});

const DoneLine = z.object({ done: z.literal(true), tokens: z.number().int().min(0) });

const ResumeBody = z.object({ resume: z.object({ from: z.number().int().min(0) }) });

/** Builds a sample's label from the lines of an engine's answer, and from nothing else. */
export class SegmentCollector {
  readonly #tokens: string[];

  readonly #segments: Segment[];

  readonly #from: number;

  readonly #decoder = new TextDecoder();

  readonly #maxLineBytes: number;

  #rest = '';

  #done = false;

  #failure: Failure | undefined;

  /** @param options - tokens to go on from, and the bound of a line */
  constructor(options: SegmentCollectorOptions = {}) {
    this.#tokens = [...(options.resume?.tokens ?? [])];
    this.#segments = [...(options.resume?.segments ?? [])];
    this.#from = options.from ?? 0;
    this.#maxLineBytes = options.maxLineBytes ?? DEFAULT_MAX_LINE_BYTES;
  }

  /** The tokens received so far; a true label for as far as it goes. */
  get received(): TokenRun {
    return { tokens: this.#tokens, segments: this.#segments };
  }

  /**
   * Takes the next bytes of the answer. A line may be cut anywhere.
   *
   * @param bytes - bytes of newline-delimited JSON
   * @returns how many tokens have been received in all, or why the answer can't be labelled
   */
  push(bytes: Uint8Array): Result<number, Failure> {
    if (this.#failure) return err(this.#failure);
    const lines = (this.#rest + this.#decoder.decode(bytes, { stream: true })).split('\n');
    this.#rest = lines.pop() ?? '';
    if (this.#rest.length > this.#maxLineBytes) return this.#fail('a line is too long');
    for (const line of lines) {
      const taken = this.#take(line);
      if (taken.isErr()) return err(taken.error);
    }
    return ok(this.#tokens.length);
  }

  /**
   * Ends the answer.
   *
   * @returns the whole run, or a failure when the answer or its label is incomplete
   */
  finish(): Result<TokenRun, Failure> {
    if (this.#failure) return err(this.#failure);
    if (!this.#done) return this.#fail('the answer ended before its last line');
    return ok(this.received);
  }

  get #next(): number {
    return this.#from + this.#tokens.length;
  }

  #take(line: string): Result<void, Failure> {
    if (line === '') return ok(undefined);
    if (this.#done) return this.#fail('a line follows the last one');
    const json = parseJson(line);
    const token = TokenLine.safeParse(json);
    if (token.success) return this.#takeToken(token.data);
    const done = DoneLine.safeParse(json);
    if (!done.success) return this.#fail('a line names no token, version or end');
    if (done.data.tokens !== this.#next) return this.#fail('tokens are missing');
    this.#done = true;
    return ok(undefined);
  }

  #takeToken(line: z.infer<typeof TokenLine>): Result<void, Failure> {
    if (line.i !== this.#next) return this.#fail(`token ${line.i} is out of order`);
    this.#tokens.push(line.t);
    const version = line.v as WeightVersion;
    const last = this.#segments.at(-1);
    if (last?.version === version) {
      this.#segments[this.#segments.length - 1] = { ...last, toToken: line.i + 1 };
    } else {
      this.#segments.push({ version, fromToken: line.i, toToken: line.i + 1 });
    }
    return ok(undefined);
  }

  #fail(detail: string): Result<never, Failure> {
    this.#failure = createFailure('answer_broken', { detail, run: 'may-have-run' });
    return err(this.#failure);
  }
}

/**
 * Reads from the body of a request to an engine with which token its answer begins.
 *
 * @param body - the body that `encodeGenerate` made
 * @returns the index of the first token that the engine will send
 */
export function readResumeFrom(body: Uint8Array): number {
  const parsed = ResumeBody.safeParse(parseJson(new TextDecoder().decode(body)));
  return parsed.success ? parsed.data.resume.from : 0;
}

/**
 * Digests tokens and their label, so that two answers can be told apart.
 *
 * @param run - the tokens and segments
 * @returns 32 hexadecimal digits
 */
export function digestRun(run: TokenRun): string {
  const segments = run.segments.map((part) => [part.version, part.fromToken, part.toToken]);
  const text = JSON.stringify([run.tokens, segments]);
  return createHash('sha256').update(text).digest('hex').slice(0, 32);
}

/**
 * Checks that segments cover a run of tokens from first to last without a hole.
 *
 * @param run - the tokens and segments
 * @returns whether every token has exactly one version
 */
export function isLabelled(run: TokenRun): boolean {
  let next = 0;
  for (const segment of run.segments) {
    if (segment.fromToken !== next || segment.toToken <= next) return false;
    next = segment.toToken;
  }
  return next === run.tokens.length;
}

/**
 * Estimates the memory that a run takes.
 *
 * @param run - the tokens and segments
 * @returns bytes
 */
export function measureRun(run: TokenRun): number {
  return run.tokens.reduce((sum, token) => sum + token.length + TOKEN_OVERHEAD_BYTES, 0);
}

const TOKEN_OVERHEAD_BYTES = 16;

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
