/** The HTTP client of the target that the agent runs beside. */
import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import type { Header } from '@hibiscushill/protocol';
import { ResultAsync } from 'neverthrow';
import { type Dispatcher, Pool } from 'undici';

import { TargetConnection } from './target-connection';

/** A request to the target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer | undefined;
  readonly isIdempotent: boolean;
  readonly signal: AbortSignal;
}

/** The target's URL and the limits of its connections. */
export interface TargetClientOptions {
  readonly url: string;
  /** The maximum number of connections for idempotent requests, and as many for all others. */
  readonly connections: number;
  readonly connectTimeoutMs?: Millis;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_TIMEOUT_MS = 2000;

// Connection errors that occur before any byte of the request was written.
const NOT_SENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Sends HTTP requests to the target. It retries none of them. */
export class TargetClient {
  readonly #keepAlivePool: Pool;

  readonly #singleUsePool: Pool;

  /** @param options - the target's URL and the limits of its connections */
  constructor(options: TargetClientOptions) {
    const common = {
      connections: options.connections,
      factory: (origin: URL, clientOptions: object) => new TargetConnection(origin, clientOptions),
      connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.#keepAlivePool = new Pool(options.url, {
      ...common,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
    // When the target closes a keep-alive connection while a request is sent, the request's outcome
    // is unknown. So a request that can't be retried gets a connection of its own.
    this.#singleUsePool = new Pool(options.url, { ...common, pipelining: 0 });
  }

  /**
   * Sends a request and waits for the head of its response.
   *
   * @param req - the request
   * @returns the response with its body as a stream; `target_down` when nothing was sent,
   *   `outcome_unknown` after any other error
   */
  send(req: TargetRequest): ResultAsync<Dispatcher.ResponseData, Failure> {
    const pool = req.isIdempotent ? this.#keepAlivePool : this.#singleUsePool;
    const response = pool.request({
      method: req.method,
      path: req.path,
      headers: req.headers.flatMap((header) => [header.name, header.value]),
      body: req.body ?? null,
      signal: req.signal,
    });
    return ResultAsync.fromPromise(response, toFailure);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([this.#keepAlivePool.destroy(), this.#singleUsePool.destroy()]);
  }
}

function toFailure(reason: unknown): Failure {
  const { code, message } = reason as { code?: string; message?: string };
  if (code !== undefined && NOT_SENT_ERROR_CODES.has(code)) {
    return createFailure('target_down', { detail: code });
  }
  return createFailure('outcome_unknown', { detail: message ?? 'error', run: 'may-have-run' });
}
