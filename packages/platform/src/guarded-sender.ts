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
  encodeBody,
} from './http-client';

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const IDLE_TURNS = 16;

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
   * Opens the connection, asks whether the call may be written, and writes it in the same tick.
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
    const opened = await this.#open(call.probePath);
    if (opened.isErr()) return err(opened.error);
    const socket = opened.value;
    const before = socket.bytesWritten;
    if (!call.mayWrite()) return err(createFailure('lease_short'));
    const answer = this.#write(call);
    if (socket.bytesWritten === before) {
      socket.resetAndDestroy();
      await answer;
      return err(createFailure('lease_short', { detail: 'connection was busy' }));
    }
    const timer = setTimeout(() => socket.resetAndDestroy(), call.deadlineMs);
    const result = await answer;
    clearTimeout(timer);
    return result;
  }

  async #open(probePath: string): Promise<Result<Socket, Failure>> {
    const signal = AbortSignal.timeout(this.#probeTimeoutMs);
    try {
      const path = `${this.#prefix}${probePath}`;
      const res = await this.#client.request({ method: 'GET', path, signal });
      await res.body.dump();
    } catch (error) {
      this.#socket?.resetAndDestroy();
      return err({ ...classifyError(error), run: 'not-run' });
    }
    for (let turn = 0; turn < IDLE_TURNS && this.#client.stats.size > 0; turn += 1) {
      await new Promise(setImmediate);
    }
    const socket = this.#socket;
    if (socket?.writable && this.#client.stats.size === 0) return ok(socket);
    return err(createFailure('platform_down', { detail: 'connection closed' }));
  }

  async #write(call: GuardedCall): Promise<Result<HttpAnswer, Failure>> {
    try {
      const res = await this.#client.request({
        method: call.method,
        path: `${this.#prefix}${call.path}`,
        ...encodeBody(call.body),
      });
      const body = await res.body.bytes();
      return ok(createAnswer(res.statusCode, res.headers['retry-after'], body));
    } catch (error) {
      return err({ ...classifyError(error), run: 'may-have-run' });
    }
  }
}
