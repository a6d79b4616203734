/** Tokens and the weight versions that produced them, read from the responses of model engines. */
import { createHash } from 'node:crypto';

import { createFailure, type Failure, type WeightVersion } from '@hibiscushill/base';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** A range of consecutive tokens that one weight version produced. */
export interface Segment {
  readonly version: WeightVersion;
  /** The index of the first token in the range. */
  readonly fromToken: number;
  /** The index after the last token in the range. */
  readonly toToken: number;
}

/** The tokens of a response from the first on, labelled with the version that produced each. */
export interface LabelledTokens {
  readonly tokens: readonly string[];
  readonly segments: readonly Segment[];
}

/** Where an engine's response begins, and how long its lines may be. */
export interface SegmentCollectorOptions {
  /** The tokens of an earlier, incomplete response that this response continues. */
  readonly resume?: LabelledTokens;
  /**
   * The index of the response's first token, for a reader that doesn't have the tokens before it.
   * Default 0; not used together with `resume`.
   */
  readonly firstTokenIndex?: number;
  /** The longest line that may be buffered, in characters (UTF-16 code units). */
  readonly maxLineLength?: number;
}

const DEFAULT_MAX_LINE_LENGTH = 64 * 1024;

const TokenLine = z.object({
  i: z.number().int().min(0),
  t: z.string(),
  v: z.number().int().min(0),
});

const DoneLine = z.object({ done: z.literal(true), tokens: z.number().int().min(0) });

const ResumeBody = z.object({ resume: z.object({ from: z.number().int().min(0) }) });

/**
 * Parses an engine's response, newline-delimited JSON, into tokens and segments. The versions come
 * from the engine's lines alone, since an engine may swap weights during a response.
 */
export class SegmentCollector {
  readonly #tokens: string[];

  readonly #segments: Segment[];

  readonly #firstTokenIndex: number;

  readonly #decoder = new TextDecoder();

  readonly #maxLineLength: number;

  #partialLine = '';

  #isDone = false;

  #failure: Failure | undefined;

  /** @param options - where the response begins, and the limit of a line */
  constructor(options: SegmentCollectorOptions = {}) {
    this.#tokens = [...(options.resume?.tokens ?? [])];
    this.#segments = [...(options.resume?.segments ?? [])];
    this.#firstTokenIndex = options.firstTokenIndex ?? 0;
    this.#maxLineLength = options.maxLineLength ?? DEFAULT_MAX_LINE_LENGTH;
  }

  /** The tokens received so far, each with its version, also when the response is incomplete. */
  get received(): LabelledTokens {
    return { tokens: this.#tokens, segments: this.#segments };
  }

  /**
   * Parses the next bytes of the response, which may end anywhere within a line.
   *
   * @param bytes - bytes of newline-delimited JSON
   * @returns the number of tokens received so far, including resumed ones; `answer_broken` once a
   *   line is invalid
   */
  push(bytes: Uint8Array): Result<number, Failure> {
    if (this.#failure) return err(this.#failure);
    const lines = (this.#partialLine + this.#decoder.decode(bytes, { stream: true })).split('\n');
    this.#partialLine = lines.pop() ?? '';
    if (this.#partialLine.length > this.#maxLineLength) return this.#fail('a line is too long');
    for (const line of lines) {
      const read = this.#readLine(line);
      if (read.isErr()) return err(read.error);
    }
    return ok(this.#tokens.length);
  }

  /**
   * Ends the response.
   *
   * @returns all tokens, or `answer_broken` when the response is incomplete or invalid
   */
  finish(): Result<LabelledTokens, Failure> {
    if (this.#failure) return err(this.#failure);
    if (!this.#isDone) return this.#fail('the response ended before its last line');
    return ok(this.received);
  }

  get #nextTokenIndex(): number {
    return this.#firstTokenIndex + this.#tokens.length;
  }

  #readLine(line: string): Result<void, Failure> {
    if (line === '') return ok(undefined);
    if (this.#isDone) return this.#fail('a line follows the last one');
    const json = parseJson(line);
    const token = TokenLine.safeParse(json);
    if (token.success) return this.#addToken(token.data);
    const done = DoneLine.safeParse(json);
    if (!done.success) return this.#fail('a line is neither a token with its version nor the end');
    if (done.data.tokens !== this.#nextTokenIndex)
      return this.#fail('the number of tokens differs from that in the last line');
    this.#isDone = true;
    return ok(undefined);
  }

  #addToken(line: z.infer<typeof TokenLine>): Result<void, Failure> {
    if (line.i !== this.#nextTokenIndex) return this.#fail(`token ${line.i} is out of order`);
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
 * Reads from the body of a generate request at which token the engine's response will begin.
 *
 * @param body - a body as `encodeGenerateBody` creates it
 * @returns the index of the first token that the engine will send
 */
export function readResumeFrom(body: Uint8Array): number {
  const parsed = ResumeBody.safeParse(parseJson(new TextDecoder().decode(body)));
  return parsed.success ? parsed.data.resume.from : 0;
}

/**
 * Computes a digest of tokens and segments, by which two responses can be compared.
 *
 * @param labelled - the tokens and segments
 * @returns 32 hexadecimal digits
 */
export function digestTokens(labelled: LabelledTokens): string {
  const segments = labelled.segments.map((part) => [part.version, part.fromToken, part.toToken]);
  const text = JSON.stringify([labelled.tokens, segments]);
  return createHash('sha256').update(text).digest('hex').slice(0, 32);
}

/**
 * Checks that segments cover all tokens from first to last, without gaps or overlaps.
 *
 * @param labelled - the tokens and segments
 * @returns whether every token has exactly one version
 */
export function coversEveryToken(labelled: LabelledTokens): boolean {
  let next = 0;
  for (const segment of labelled.segments) {
    if (segment.fromToken !== next || segment.toToken <= next) return false;
    next = segment.toToken;
  }
  return next === labelled.tokens.length;
}

/**
 * Estimates the memory that tokens take.
 *
 * @param labelled - the tokens and segments
 * @returns the size in bytes
 */
export function estimateBytes(labelled: LabelledTokens): number {
  return labelled.tokens.reduce((sum, token) => sum + token.length + TOKEN_OVERHEAD_BYTES, 0);
}

const TOKEN_OVERHEAD_BYTES = 16;

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
