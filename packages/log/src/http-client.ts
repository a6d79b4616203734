/** HTTP calls to the platform: each with a deadline, none repeated by the library. */
import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { Pool } from 'undici';
import type { z } from 'zod';

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const CONNECTIONS = 16;
const SECOND_MS = 1_000;

// Errors that undici raises before it has written anything.
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CLOSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
]);

/** Where a client of the platform connects, and its default deadline. */
export interface HttpClientOptions {
  readonly url: string;
  readonly timeoutMs?: Millis;
  readonly connectTimeoutMs?: Millis;
  readonly connections?: number;
}

/** One call. */
export interface HttpCall {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs?: Millis;
  readonly signal?: AbortSignal;
}

/** An answer, read to its end. */
export interface HttpAnswer {
  readonly status: number;
  readonly retryAfterMs?: Millis;
  readonly body: Uint8Array;
}

/** Sends calls. */
export abstract class HttpCaller {
  /**
   * Sends a call. No answer by the deadline is a `platform_down`.
   *
   * @param call - the call
   * @returns the answer, whatever its status
   */
  abstract send(call: HttpCall): ResultAsync<HttpAnswer, Failure>;
}

/** A pool of connections to one platform service. */
export class HttpClient extends HttpCaller {
  readonly #options: HttpClientOptions;

  readonly #prefix: string;

  #pool: Pool;

  /** @param options - the base URL, deadlines in milliseconds, and the most connections */
  constructor(options: HttpClientOptions) {
    super();
    this.#options = options;
    this.#prefix = new URL(options.url).pathname.replace(/\/$/, '');
    this.#pool = this.#createPool();
  }

  override send(call: HttpCall): ResultAsync<HttpAnswer, Failure> {
    return new ResultAsync(this.#send(call));
  }

  /** Closes the connections and ends what is in flight. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(call: HttpCall): Promise<Result<HttpAnswer, Failure>> {
    const timeoutMs = call.timeoutMs ?? this.#options.timeoutMs ?? CALL_TIMEOUT_MS;
    // A deadline that was worked out may be a fraction, which `timeout` throws at.
    const deadline = AbortSignal.timeout(Math.max(0, Math.ceil(timeoutMs)));
    const signal = call.signal ? AbortSignal.any([deadline, call.signal]) : deadline;
    const pool = this.#pool;
    try {
      const res = await pool.request({
        method: call.method,
        path: `${this.#prefix}${call.path}`,
        signal,
        ...encodeBody(call.body),
      });
      const body = await res.body.bytes();
      return ok(createAnswer(res.statusCode, res.headers['retry-after'], body));
    } catch (error) {
      if (deadline.aborted) this.#renew(pool);
      return err(classifyError(error));
    }
  }

  // One connection's silence makes its idle siblings suspect: without a new pool, each of them
  // would cost a deadline of its own.
  #renew(silent: Pool): void {
    if (this.#pool !== silent) return;
    this.#pool = this.#createPool();
    silent.close().catch(() => undefined);
  }

  #createPool(): Pool {
    return new Pool(new URL(this.#options.url).origin, {
      connections: this.#options.connections ?? CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: this.#options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS },
    });
  }
}

/**
 * Makes an answer from its parts.
 *
 * @param status - the HTTP status
 * @param retryAfter - the `Retry-After` header, in seconds
 * @param body - the whole body
 * @returns the answer
 */
export function createAnswer(
  status: number,
  retryAfter: string | string[] | undefined,
  body: Uint8Array,
): HttpAnswer {
  const seconds = Number(retryAfter);
  if (retryAfter === undefined || Number.isNaN(seconds)) return { status, body };
  return { status, body, retryAfterMs: seconds * SECOND_MS };
}

/**
 * Turns an error of the connection into a failure.
 *
 * @param error - what was thrown
 * @returns `platform_down`, with `not-run` only when nothing was sent
 */
export function classifyError(error: unknown): Failure {
  const { code, message } = error as { code?: string; message?: string };
  const run = code !== undefined && UNSENT_CODES.has(code) ? 'not-run' : 'may-have-run';
  return createFailure('platform_down', { detail: code ?? message ?? 'no answer', run });
}

/**
 * Turns an answer that isn't a success into a failure.
 *
 * @param answer - the answer
 * @returns `platform_down` for 429 and 503, else `platform_refused`; neither has run
 */
export function classifyRefusal(answer: HttpAnswer): Failure {
  const detail = `status ${answer.status}`;
  if (answer.status !== 429 && answer.status !== 503) {
    // A 5xx may come after the effect; every 4xx is given before it.
    const run = answer.status >= 500 ? 'may-have-run' : 'not-run';
    return createFailure('platform_refused', { detail, run });
  }
  const { retryAfterMs } = answer;
  return createFailure(
    'platform_down',
    retryAfterMs === undefined ? { detail } : { detail, retryAfterMs },
  );
}

/**
 * Reads the JSON of a successful answer.
 *
 * @param answer - the answer
 * @param schema - what the body must look like
 * @returns the value
 */
export function readAnswer<T>(answer: HttpAnswer, schema: z.ZodType<T>): Result<T, Failure> {
  if (answer.status !== 200) return err(classifyRefusal(answer));
  try {
    return ok(schema.parse(JSON.parse(Buffer.from(answer.body).toString('utf8'))));
  } catch {
    const detail = 'malformed answer';
    return err(createFailure('platform_refused', { detail, run: 'may-have-run' }));
  }
}

/**
 * Encodes a body: bytes as they are, anything else as JSON.
 *
 * @param body - the value, or undefined for none
 * @returns the body and its header
 */
export function encodeBody(body: unknown): {
  body?: string | Uint8Array;
  headers?: Record<string, string>;
} {
  if (body === undefined) return {};
  if (body instanceof Uint8Array) {
    return { body, headers: { 'content-type': 'application/octet-stream' } };
  }
  return { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } };
}
