/** HTTP requests to the platform's services. Each has a deadline, and none is retried here. */
import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { Pool } from 'undici';
import type { z } from 'zod';

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const DEFAULT_MAX_CONNECTIONS = 16;
const SECOND_MS = 1_000;

// Errors that undici reports before it has written any part of the request.
const NOT_SENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CLOSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
]);

/** Where a client connects, its default deadlines and the size of its connection pool. */
export interface HttpClientOptions {
  /** The service's base URL; its path is prepended to the path of each request. */
  readonly url: string;
  /** The default deadline of a request, in milliseconds. */
  readonly timeoutMs?: Millis;
  readonly connectTimeoutMs?: Millis;
  /** The maximum number of open connections. */
  readonly connections?: number;
}

/** A request to a service. */
export interface HttpRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Bytes are sent as they are, any other value as JSON. */
  readonly body?: unknown;
  /** How long the response may take to its end, in milliseconds. */
  readonly timeoutMs?: Millis;
  /** Cancels the request. */
  readonly signal?: AbortSignal;
}

/** A response with its whole body. `retryAfterMs` is taken from the `Retry-After` header. */
export interface HttpResponse {
  readonly status: number;
  readonly retryAfterMs?: Millis;
  /** The headers, by their names in lower case; only responses to guarded requests have them. */
  readonly headers?: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

/** Sends HTTP requests to a service. */
export abstract class HttpTransport {
  /**
   * Sends a request. Fails with `platform_down` when no response arrives by the deadline.
   *
   * @param req - the request
   * @returns the response, whatever its status
   */
  abstract send(req: HttpRequest): ResultAsync<HttpResponse, Failure>;
}

/** Sends requests over a pool of connections to one service. */
export class HttpClient extends HttpTransport {
  readonly #options: HttpClientOptions;

  readonly #prefix: string;

  #pool: Pool;

  /** @param options - the base URL, the default deadlines and the maximum number of connections */
  constructor(options: HttpClientOptions) {
    super();
    this.#options = options;
    this.#prefix = new URL(options.url).pathname.replace(/\/$/, '');
    this.#pool = this.#createPool();
  }

  override send(req: HttpRequest): ResultAsync<HttpResponse, Failure> {
    return new ResultAsync(this.#send(req));
  }

  /** Closes the connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(req: HttpRequest): Promise<Result<HttpResponse, Failure>> {
    const timeoutMs = req.timeoutMs ?? this.#options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    // `AbortSignal.timeout` throws for a fraction, which a computed timeout may be.
    const deadline = AbortSignal.timeout(Math.max(0, Math.ceil(timeoutMs)));
    const signal = req.signal ? AbortSignal.any([deadline, req.signal]) : deadline;
    const pool = this.#pool;
    try {
      const res = await pool.request({
        method: req.method,
        path: `${this.#prefix}${req.path}`,
        signal,
        ...encodeBody(req.body),
      });
      const length = res.headers['content-length'];
      const body = await (length === undefined
        ? res.body.bytes()
        : readBody(res.body, Number(length)));
      return ok(createResponse(res.statusCode, res.headers['retry-after'], body));
    } catch (error) {
      if (deadline.aborted) this.#replacePool(pool);
      return err(classifyConnectionError(error));
    }
  }

  // When a request times out, the pool's idle connections are probably broken as well. With a new
  // pool, later requests don't each have to time out on one of them.
  #replacePool(timedOut: Pool): void {
    if (this.#pool !== timedOut) return;
    this.#pool = this.#createPool();
    timedOut.close().catch(() => undefined);
  }

  #createPool(): Pool {
    return new Pool(new URL(this.#options.url).origin, {
      connections: this.#options.connections ?? DEFAULT_MAX_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: this.#options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
    });
  }
}

/**
 * Reads a body of a known length. What arrives is copied at once, so that the parts of a large body
 * don't stay in memory beside the whole.
 */
async function readBody(parts: AsyncIterable<Uint8Array>, bytes: number): Promise<Uint8Array> {
  const body = Buffer.allocUnsafeSlow(bytes);
  let position = 0;
  for await (const part of parts) {
    body.set(part, position);
    position += part.length;
  }
  return body;
}

/**
 * Creates a response.
 *
 * @param status - the HTTP status
 * @param retryAfter - the `Retry-After` header, in seconds
 * @param body - the whole body
 * @returns the response, with the wait that it asks for in milliseconds
 */
export function createResponse(
  status: number,
  retryAfter: string | string[] | undefined,
  body: Uint8Array,
): HttpResponse {
  const seconds = Number(retryAfter);
  if (retryAfter === undefined || Number.isNaN(seconds)) return { status, body };
  return { status, body, retryAfterMs: seconds * SECOND_MS };
}

/**
 * Converts an error of the connection into a failure.
 *
 * @param error - the error that was thrown
 * @returns `platform_down`, with `run` set to `not-run` only when nothing was sent
 */
export function classifyConnectionError(error: unknown): Failure {
  const { code, message } = error as { code?: string; message?: string };
  const run = code !== undefined && NOT_SENT_ERROR_CODES.has(code) ? 'not-run' : 'may-have-run';
  return createFailure('platform_down', { detail: code ?? message ?? 'no response', run });
}

/**
 * Converts a response whose status isn't a success into a failure.
 *
 * @param res - the response
 * @returns `platform_down` for 429 and 503, else `platform_refused`; `run` is `may-have-run` for
 *   other 5xx statuses only
 */
export function createStatusFailure(res: HttpResponse): Failure {
  const detail = `status ${res.status}`;
  if (res.status !== 429 && res.status !== 503) {
    // A service may fail with a 5xx after the request took effect, but with a 4xx only before it.
    const run = res.status >= 500 ? 'may-have-run' : 'not-run';
    return createFailure('platform_refused', { detail, run });
  }
  const { retryAfterMs } = res;
  return createFailure(
    'platform_down',
    retryAfterMs === undefined ? { detail } : { detail, retryAfterMs },
  );
}

/**
 * Parses the JSON body of a response with status 200.
 *
 * @param res - the response
 * @param schema - the schema of the body
 * @returns the parsed body; a failure for another status or a body that doesn't match the schema
 */
export function readJsonResponse<T>(res: HttpResponse, schema: z.ZodType<T>): Result<T, Failure> {
  if (res.status !== 200) return err(createStatusFailure(res));
  try {
    return ok(schema.parse(JSON.parse(Buffer.from(res.body).toString('utf8'))));
  } catch {
    const detail = 'malformed response body';
    return err(createFailure('platform_refused', { detail, run: 'may-have-run' }));
  }
}

/**
 * Encodes a request's body: bytes as they are, any other value as JSON.
 *
 * @param body - the value, or undefined for no body
 * @returns the encoded body and its `content-type` header
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
