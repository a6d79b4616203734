/** HTTP to the one target beside the agent. */
import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import type { Header } from '@hibiscushill/protocol';
import { ResultAsync } from 'neverthrow';
import { type Dispatcher, Pool } from 'undici';

/** What is sent to the target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer | undefined;
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

/** How the target is reached. */
export interface TargetClientOptions {
  readonly url: string;
  readonly connections: number;
  readonly connectTimeoutMs?: Millis;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 2000;

// Failures that come before a byte of the request was written.
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** The target's HTTP client. It repeats nothing by itself. */
export class TargetClient {
  readonly #shared: Pool;

  readonly #fresh: Pool;

  /** @param options - the target's URL and how many connections are kept */
  constructor(options: TargetClientOptions) {
    const common = {
      connections: options.connections,
      connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.#shared = new Pool(options.url, {
      ...common,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    // A kept connection that the target is just closing would make a sent request's outcome
    // unknown, so work that must not be repeated gets a connection of its own.
    this.#fresh = new Pool(options.url, { ...common, pipelining: 0 });
  }

  /**
   * Sends a request and waits for the head of its answer.
   *
   * @param req - the request
   * @returns the answer with its body as a stream; `target_down` when nothing was sent, else
   *   `outcome_unknown`
   */
  send(req: TargetRequest): ResultAsync<Dispatcher.ResponseData, Failure> {
    const pool = req.idempotent ? this.#shared : this.#fresh;
    const answer = pool.request({
      method: req.method,
      path: req.path,
      headers: req.headers.flatMap((header) => [header.name, header.value]),
      body: req.body ?? null,
      signal: req.signal,
    });
    return ResultAsync.fromPromise(answer, toFailure);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([this.#shared.destroy(), this.#fresh.destroy()]);
  }
}

function toFailure(reason: unknown): Failure {
  const { code, message } = reason as { code?: string; message?: string };
  if (code !== undefined && NOT_SENT.has(code)) {
    return createFailure('target_down', { detail: code });
  }
  return createFailure('outcome_unknown', { detail: message ?? 'error', run: 'may-have-run' });
}
