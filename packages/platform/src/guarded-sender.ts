/** Calls that may be written only while a lease covers them. */
import type { Socket } from 'node:net';

import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { Client, buildConnector } from 'undici';

import {
  type HttpAnswer,
  type HttpClientOptions,
  classifyError,
  createAnswer,
} from './http-client';

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** A call that is checked in the tick in which it is written. */
export interface GuardedCall {
  readonly method: 'POST' | 'PUT';
  readonly path: string;
  readonly body: unknown;
  /** A path whose `GET` proves that the connection answers. */
  readonly probePath: string;
  /** When the call is abandoned and its connection reset, in milliseconds from the write. */
  readonly deadlineMs: Millis;
  /** Whether the call may be written now, until `deadlineMs` from now. */
  readonly mayWrite: () => boolean;
}

/** Sends one call at a time over one connection. */
export class GuardedSender {
  readonly #client: Client;

  readonly #prefix: string;

  readonly #probeTimeoutMs: Millis;

  #socket: Socket | undefined;

  #turn: Promise<unknown> = Promise.resolve();

  /** @param options - the base URL and the deadline for the connection's probe */
  constructor(options: HttpClientOptions) {
    const connect = buildConnector({ timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS });
    this.#prefix = new URL(options.url).pathname.replace(/\/$/, '');
    this.#probeTimeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
    this.#client = new Client(new URL(options.url).origin, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: (target, callback) =>
        connect(target, (...result) => {
          this.#socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
  }

  /**
   * Proves that the connection answers, then asks whether the call may be written in the tick in
   * which it is written.
   * Past its deadline the connection is reset, so that no byte of it is sent again.
   *
   * @param call - the call
   * @returns the answer; `lease_short` when it wasn't written
   */
  send(call: GuardedCall): ResultAsync<HttpAnswer, Failure> {
    const result = this.#turn.then(() => this.#send(call));
    this.#turn = result;
    return new ResultAsync(result);
  }

  /** Closes the connection and ends what is in flight. */
  async close(): Promise<void> {
    await this.#client.destroy();
  }

  async #send(call: GuardedCall): Promise<Result<HttpAnswer, Failure>> {
    const probed = await this.#probe(call.probePath);
    return probed.isErr() ? err(probed.error) : this.#write(call);
  }

  async #probe(probePath: string): Promise<Result<void, Failure>> {
    const signal = AbortSignal.timeout(this.#probeTimeoutMs);
    try {
      const path = `${this.#prefix}${probePath}`;
      const res = await this.#client.request({ method: 'GET', path, signal });
      await res.body.dump();
      return ok(undefined);
    } catch (error) {
      this.#socket?.resetAndDestroy();
      return err({ ...classifyError(error), run: 'not-run' });
    }
  }

  async #write(call: GuardedCall): Promise<Result<HttpAnswer, Failure>> {
    const abandoned = new AbortController();
    const abandon = (): void => {
      this.#socket?.resetAndDestroy();
      abandoned.abort();
    };
    let timer = setTimeout(abandon, this.#probeTimeoutMs);
    let isWritten = false;
    const begin = (): boolean => {
      clearTimeout(timer);
      timer = setTimeout(abandon, call.deadlineMs);
      isWritten = call.mayWrite();
      return isWritten;
    };
    try {
      return ok(await this.#request(call, begin, abandoned.signal));
    } catch (error) {
      if (isWritten) return err({ ...classifyError(error), run: 'may-have-run' });
      if (error instanceof LeaseShort) return err(createFailure('lease_short'));
      return err({ ...classifyError(error), run: 'not-run' });
    } finally {
      clearTimeout(timer);
    }
  }

  async #request(
    call: GuardedCall,
    begin: () => boolean,
    signal: AbortSignal,
  ): Promise<HttpAnswer> {
    const body = Buffer.from(JSON.stringify(call.body));
    const res = await this.#client.request({
      method: call.method,
      path: `${this.#prefix}${call.path}`,
      headers: { 'content-type': 'application/json', 'content-length': String(body.length) },
      // The library takes any iterable; its types name fewer.
      body: createGuardedBody(body, begin) as unknown as Buffer,
      signal,
    });
    return createAnswer(res.statusCode, res.headers['retry-after'], await res.body.bytes());
  }
}

class LeaseShort extends Error {}

// The library holds a call back for connects and for a check of idle connections. It asks for the
// body only when it is about to write, and writes the headers together with the body's first part:
// so the question is put here, with no turn of the event loop between it and the write.
async function* createGuardedBody(
  body: Buffer,
  begin: () => boolean,
): AsyncGenerator<Buffer, void, void> {
  if (!begin()) throw new LeaseShort('The lease is too short.');
  yield body;
}
