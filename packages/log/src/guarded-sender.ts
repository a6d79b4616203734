/** Calls that may be written only while a lease covers them. */
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';

import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import {
  type HttpAnswer,
  type HttpClientOptions,
  classifyError,
  createAnswer,
} from './http-client';

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_PORT = 80;

/** A call that is checked in the tick in which it is written. */
export interface GuardedCall {
  readonly method: 'POST' | 'PUT';
  readonly path: string;
  readonly body: unknown;
  /** Headers beside those of the body. */
  readonly headers?: Readonly<Record<string, string>>;
  /** When the call is abandoned and its connection reset, in milliseconds from the write. */
  readonly deadlineMs: Millis;
  /** Whether the call may be written now, until `deadlineMs` from now. */
  readonly mayWrite: () => boolean;
}

/** Sends each call over a connection of its own, which is open before the call is checked. */
export class GuardedSender {
  readonly #url: URL;

  readonly #prefix: string;

  readonly #connectTimeoutMs: Millis;

  readonly #sockets = new Set<net.Socket>();

  /** @param options - the base URL and the deadline for the connection */
  constructor(options: HttpClientOptions) {
    this.#url = new URL(options.url);
    this.#prefix = this.#url.pathname.replace(/\/$/, '');
    this.#connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS;
  }

  /**
   * Opens a connection, asks whether the call may be written, and writes it in the same tick.
   * Past its deadline the connection is reset, so that no byte of it is sent again.
   *
   * @param call - the call
   * @returns the answer; `lease_short` when it wasn't written
   */
  send(call: GuardedCall): ResultAsync<HttpAnswer, Failure> {
    return new ResultAsync(this.#send(call));
  }

  /** Resets the connections and so ends what is in flight. */
  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async #send(call: GuardedCall): Promise<Result<HttpAnswer, Failure>> {
    const opened = await this.#open();
    if (opened.isErr()) return err(opened.error);
    const socket = opened.value;
    this.#sockets.add(socket);
    try {
      return await this.#exchange(socket, call);
    } finally {
      this.#sockets.delete(socket);
      socket.destroy();
    }
  }

  async #exchange(socket: net.Socket, call: GuardedCall): Promise<Result<HttpAnswer, Failure>> {
    const body = Buffer.from(JSON.stringify(call.body));
    const req = this.#createRequest(socket, call, body.length);
    const answer = readResponse(req);
    // The request takes the socket over some ticks after it was made; before that, it buffers.
    if (!req.socket) await Promise.race([once(req, 'socket').catch(() => undefined), answer]);
    if (!isOpen(socket) || req.socket !== socket) {
      return err(createFailure('platform_down', { detail: 'connection closed' }));
    }
    if (!call.mayWrite()) return err(createFailure('lease_short'));
    req.end(body);
    const timer = setTimeout(() => socket.resetAndDestroy(), call.deadlineMs);
    const result = await answer;
    clearTimeout(timer);
    return result;
  }

  #createRequest(socket: net.Socket, call: GuardedCall, length: number): http.ClientRequest {
    return http.request({
      method: call.method,
      path: `${this.#prefix}${call.path}`,
      headers: {
        ...call.headers,
        host: this.#url.host,
        'content-type': 'application/json',
        'content-length': length,
        connection: 'close',
      },
      createConnection: () => socket,
    });
  }

  async #open(): Promise<Result<net.Socket, Failure>> {
    const port = Number(this.#url.port) || DEFAULT_PORT;
    const socket = net.connect({ host: this.#url.hostname, port, noDelay: true });
    const signal = AbortSignal.timeout(this.#connectTimeoutMs);
    try {
      await once(socket, 'connect', { signal });
      return ok(socket);
    } catch (error) {
      socket.destroy();
      return err({ ...classifyError(error), run: 'not-run' });
    }
  }
}

function isOpen(socket: net.Socket): boolean {
  return socket.writable && !socket.connecting && !socket.destroyed;
}

async function readResponse(req: http.ClientRequest): Promise<Result<HttpAnswer, Failure>> {
  try {
    const [res] = (await once(req, 'response')) as [http.IncomingMessage];
    const parts: Buffer[] = [];
    for await (const part of res) parts.push(part as Buffer);
    const { statusCode = 0, headers } = res;
    return ok(createAnswer(statusCode, headers['retry-after'], Buffer.concat(parts)));
  } catch (error) {
    return err({ ...classifyError(error), run: 'may-have-run' });
  } finally {
    // A reset that comes after the answer was read is of no interest.
    req.on('error', () => undefined);
  }
}
