/** HTTP requests that may be written only while a lease covers their whole duration. */
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';

import { type Failure, type Millis, createFailure } from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import {
  type HttpResponse,
  type HttpClientOptions,
  classifyConnectionError,
  createResponse,
} from './http-transport';

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_PORT = 80;
// Many times the size of a response to an order. What a receiver in trouble sends may have no end.
const MAX_RESPONSE_BYTES = 262_144;

/** A request with a check that is made in the same tick as its write. */
export interface GuardedRequest {
  readonly method: 'POST' | 'PUT';
  readonly path: string;
  readonly body: unknown;
  /** Headers in addition to those of the body. */
  readonly headers?: Readonly<Record<string, string>>;
  /** How long after the write the connection is reset, in milliseconds. */
  readonly deadlineMs: Millis;
  /** Tells whether the lease covers `deadlineMs` from now, so that the request may be written. */
  readonly mayWrite: () => boolean;
}

/**
 * Sends requests under a lease. Each goes over a connection of its own, which is open before the
 * lease is checked, so that nothing delays the request between the check and the write.
 */
export class GuardedSender {
  readonly #url: URL;

  readonly #prefix: string;

  readonly #connectTimeoutMs: Millis;

  readonly #sockets = new Set<net.Socket>();

  /** @param options - the base URL and the timeout for connecting */
  constructor(options: HttpClientOptions) {
    this.#url = new URL(options.url);
    this.#prefix = this.#url.pathname.replace(/\/$/, '');
    this.#connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  }

  /**
   * Opens a connection, checks the lease, and writes the request in the same tick. After the
   * deadline the connection is reset, so that TCP doesn't retransmit any part of the request.
   *
   * @param guarded - the request
   * @returns the response; fails with `lease_short` when the request wasn't written
   */
  send(guarded: GuardedRequest): ResultAsync<HttpResponse, Failure> {
    return new ResultAsync(this.#send(guarded));
  }

  /** Resets the connections; requests in progress fail. */
  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async #send(guarded: GuardedRequest): Promise<Result<HttpResponse, Failure>> {
    const opened = await this.#open();
    if (opened.isErr()) return err(opened.error);
    const socket = opened.value;
    this.#sockets.add(socket);
    try {
      return await this.#exchange(socket, guarded);
    } finally {
      this.#sockets.delete(socket);
      socket.destroy();
    }
  }

  async #exchange(
    socket: net.Socket,
    guarded: GuardedRequest,
  ): Promise<Result<HttpResponse, Failure>> {
    const body = Buffer.from(JSON.stringify(guarded.body));
    const req = this.#createRequest(socket, guarded, body.length);
    const response = readResponse(req);
    // The request is assigned the socket some ticks after its creation and buffers until then.
    if (!req.socket) await Promise.race([once(req, 'socket').catch(() => undefined), response]);
    if (!isConnected(socket) || req.socket !== socket) {
      return err(
        createFailure('platform_down', {
          detail: 'the connection was closed before the request was written',
        }),
      );
    }
    if (!guarded.mayWrite()) return err(createFailure('lease_short'));
    req.end(body);
    const timer = setTimeout(() => socket.resetAndDestroy(), guarded.deadlineMs);
    const result = await response;
    clearTimeout(timer);
    return result;
  }

  #createRequest(socket: net.Socket, guarded: GuardedRequest, length: number): http.ClientRequest {
    return http.request({
      method: guarded.method,
      path: `${this.#prefix}${guarded.path}`,
      headers: {
        ...guarded.headers,
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
      return err({ ...classifyConnectionError(error), run: 'not-run' });
    }
  }
}

function isConnected(socket: net.Socket): boolean {
  return socket.writable && !socket.connecting && !socket.destroyed;
}

async function readResponse(req: http.ClientRequest): Promise<Result<HttpResponse, Failure>> {
  try {
    const [res] = (await once(req, 'response')) as [http.IncomingMessage];
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of res) {
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_RESPONSE_BYTES) throw new Error('the response is too large');
      chunks.push(chunk as Buffer);
    }
    const { statusCode = 0, headers } = res;
    const body = Buffer.concat(chunks);
    return ok({ ...createResponse(statusCode, headers['retry-after'], body), headers });
  } catch (error) {
    return err({ ...classifyConnectionError(error), run: 'may-have-run' });
  } finally {
    // Ignores a connection reset after the response was read.
    req.on('error', () => undefined);
  }
}
