/** HTTP requests over pooled connections, of which each carries one request at a time. */
import type { Socket } from 'node:net';

import { type Clock, type Metrics, type Millis, onConnectionReset } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { Client, type Dispatcher, buildConnector } from 'undici';

import { findHeaderValues, isDelimited } from './response-framing';
import { isListening } from './server-probe';
import type { ResponseFlow } from './target-port';

/** A request to send. */
export interface ExchangeRequest {
  /** `IP:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body?: Uint8Array;
  /** Whether it needs a new connection, since it can't be repeated if a pooled one is closed. */
  readonly isFresh?: boolean;
  /** Asked after the response: whether to pool the connection; by default it is pooled. */
  readonly mayKeep?: () => boolean;
  /** Asked after a response without a length: whether its server may refuse connections. */
  readonly mayRefuse?: () => boolean;
}

/** Why an exchange ended without a complete response. */
export interface ExchangeError {
  /** Whether any byte of the request may have been sent. */
  readonly wasSent: boolean;
  readonly reason: string;
}

/**
 * Receives the parts of a response. Exactly one of `onEnd` and `onError` is called, as the last.
 */
export abstract class ExchangeSink {
  /** Receives the status, and header names and values in turn. */
  abstract onHead(status: number, headers: readonly string[], flow: ResponseFlow): void;

  abstract onData(chunk: Buffer): void;

  /**
   * The response has ended without an error of its connection.
   *
   * @param isDelimited - whether its framing states its end, rather than the close of its connection
   */
  abstract onEnd(isDelimited: boolean): void;

  abstract onError(error: ExchangeError): void;
}

/** Ends an exchange by closing its connection. */
export type AbortExchange = () => void;

/** The time-outs of connections. */
export interface HttpExchangerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly connectTimeoutMs?: Millis;
  /** How long an idle connection is kept if its server states no time. */
  readonly keepAliveMs?: Millis;
}

// Connections inside a region open within a few milliseconds. After this the peer counts as lost.
const CONNECT_TIMEOUT_MS = 400;
// Below the idle time-outs of servers that don't state theirs.
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
// Closes a connection before its server does, which could happen while a request is on its way.
const KEEP_ALIVE_MARGIN_MS = 300;
const MAX_HEADER_BYTES = 65_536;

/** Reports a request that can't be sent, once its sender has got the function that ends it. */
function failLater(sink: ExchangeSink, reason: string): AbortExchange {
  let isReported = false;
  const report = (text: string): void => {
    if (isReported) return;
    isReported = true;
    sink.onError({ wasSent: false, reason: text });
  };
  queueMicrotask(() => report(reason));
  return () => report('aborted');
}

/** Holds back the data of a socket, whose buffer then fills up, so that its peer has to wait. */
class ReadGate implements ResponseFlow {
  readonly #socket: Socket;

  #isPaused = false;

  /** @param socket - a socket whose user calls `read` upon each `readable` event */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    // The library's own pause isn't used: a reset of the connection during it throws an exception
    // that nothing can catch.
    Object.assign(socket, { read: (size?: number) => (this.#isPaused ? null : read(size)) });
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    // The library must not be made to read while it is passing on what it has read.
    queueMicrotask(() => this.#socket.emit('readable'));
  }
}

interface PooledConnection {
  readonly client: Client;
  /** Undefined before the connection is open. */
  gate: ReadGate | undefined;
  /** Whether the current connection ended by a reset rather than by an orderly close. */
  wasReset: boolean;
}

/** Sends requests and pools their connections by address. */
export class HttpExchanger {
  readonly #options: HttpExchangerOptions;

  readonly #idleByAddress = new Map<string, PooledConnection[]>();

  /** @param options - the time-outs of connections */
  constructor(options: HttpExchangerOptions) {
    this.#options = options;
  }

  /**
   * Sends a request.
   *
   * @param req - the request
   * @param sink - receives the response
   * @returns a function that ends the exchange early, with an error to the sink
   */
  send(req: ExchangeRequest, sink: ExchangeSink): AbortExchange {
    const acquired = this.#tryAcquire(req);
    if (acquired.isErr()) return failLater(sink, acquired.error);
    const connection = acquired.value;
    const handler = new ExchangeHandler({
      connection,
      sink,
      release: (isReusable) => {
        if (isReusable && (req.mayKeep?.() ?? true)) this.#release(req.address, connection);
        else connection.client.destroy().catch(() => undefined);
      },
      hasCrashed: async () => !req.mayRefuse?.() && !(await isListening(req.address)),
    });
    // The library reports a request that it can't write during this call, before the caller has got
    // the function that ends the exchange.
    handler.startDeferringErrors(() => {
      connection.client.dispatch(
        {
          method: req.method,
          path: req.path,
          headers: [...req.headers],
          body: req.body ?? null,
          blocking: false,
        },
        handler,
      );
    });
    return () => handler.abort();
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: string): void {
    const connections = this.#idleByAddress.get(address) ?? [];
    this.#idleByAddress.delete(address);
    connections.forEach(({ client }) => client.destroy().catch(() => undefined));
  }

  /** Closes all idle connections. */
  close(): void {
    [...this.#idleByAddress.keys()].forEach((address) => this.closeIdle(address));
  }

  /** How many addresses have idle connections. */
  get idleAddresses(): number {
    return this.#idleByAddress.size;
  }

  /** Fails for an address to which no connection can be opened. */
  #tryAcquire(req: ExchangeRequest): Result<PooledConnection, string> {
    try {
      return ok(this.#acquire(req));
    } catch (error) {
      return err(`the address ${req.address} can't be used: ${String(error)}`);
    }
  }

  #acquire({ address, isFresh }: ExchangeRequest): PooledConnection {
    const connections = isFresh ? [] : (this.#idleByAddress.get(address) ?? []);
    const pooled = connections.pop();
    if (connections.length === 0 && !isFresh) this.#idleByAddress.delete(address);
    return pooled ?? this.#open(address);
  }

  #release(address: string, connection: PooledConnection): void {
    const connections = this.#idleByAddress.get(address) ?? [];
    this.#idleByAddress.set(address, connections);
    connections.push(connection);
  }

  #open(address: string): PooledConnection {
    const { metrics, connectTimeoutMs = CONNECT_TIMEOUT_MS } = this.#options;
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const state = { wasReset: false, gate: undefined };
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: this.#options.keepAliveMs ?? KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (options, callback) =>
        connect(options, (error, socket) => {
          if (error) {
            callback(error, null);
            return;
          }
          metrics.count('target.connected');
          connection.wasReset = false;
          connection.gate = new ReadGate(socket);
          // The library treats a reset like the end of a response without a length, so this has to
          // be registered before the library's own listeners.
          onConnectionReset(socket, () => {
            connection.wasReset = true;
          });
          callback(null, socket);
        }),
    });
    const connection: PooledConnection = { client, ...state };
    client.on('disconnect', () => this.#remove(address, connection));
    return connection;
  }

  #remove(address: string, connection: PooledConnection): void {
    const connections = this.#idleByAddress.get(address);
    const at = connections?.indexOf(connection) ?? -1;
    if (at < 0) return;
    connections?.splice(at, 1);
    if (connections?.length === 0) this.#idleByAddress.delete(address);
    connection.client.destroy().catch(() => undefined);
  }
}

interface ExchangeHandlerOptions {
  readonly connection: PooledConnection;
  readonly sink: ExchangeSink;
  /** Called at the end, with whether the connection can be used again. */
  readonly release: (isReusable: boolean) => void;
  /** Whether the server is known to have crashed. */
  readonly hasCrashed: () => Promise<boolean>;
}

/** Passes the library's events of one exchange on to its sink. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #connection: PooledConnection;

  readonly #sink: ExchangeSink;

  readonly #release: (isReusable: boolean) => void;

  readonly #hasCrashed: () => Promise<boolean>;

  #wasSent = false;

  #hasEnded = false;

  #isStarting = false;

  // Whether the end of the response is marked other than by the end of the connection.
  #isDelimited = true;

  #closesConnection = false;

  constructor({ connection, sink, release, hasCrashed }: ExchangeHandlerOptions) {
    this.#connection = connection;
    this.#sink = sink;
    this.#release = release;
    this.#hasCrashed = hasCrashed;
  }

  abort(): void {
    this.#fail('aborted');
  }

  /**
   * Starts the exchange; errors during the start are reported in a later turn of the event loop.
   *
   * @param start - passes the request to the library
   */
  startDeferringErrors(start: () => void): void {
    this.#isStarting = true;
    try {
      start();
    } catch (error) {
      this.onResponseError(undefined, error as Error);
    }
    this.#isStarting = false;
  }

  onRequestStart(): void {
    this.#wasSent = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.#hasEnded || status < 200) return;
    const headers = ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((part) =>
      typeof part === 'string' ? part : part.toString('latin1'),
    );
    this.#isDelimited = status === 204 || isDelimited(headers);
    this.#closesConnection = findHeaderValues(headers, 'connection')[0] === 'close';
    this.#sink.onHead(status, headers, {
      pause: () => {
        if (!this.#hasEnded) this.#connection.gate?.pause();
      },
      resume: () => {
        if (!this.#hasEnded) this.#connection.gate?.resume();
      },
    });
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    if (!this.#hasEnded) this.#sink.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#hasEnded) return;
    if (this.#isDelimited) this.#end();
    else void this.#endUndelimited();
  }

  /** Ends a response without a length unless it may have been cut. */
  async #endUndelimited(): Promise<void> {
    if (this.#connection.wasReset) {
      this.#fail('connection reset before the end of a response without a length');
    } else if (await this.#hasCrashed()) {
      this.#fail('server gone after a response without a length');
    } else this.#end();
  }

  #end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#connection.gate?.resume();
    this.#release(this.#isDelimited && !this.#closesConnection);
    this.#sink.onEnd(this.#isDelimited);
  }

  onResponseError(_controller: unknown, error: Error): void {
    const { code } = error as { code?: string };
    this.#fail(code ?? error.message);
  }

  #fail(reason: string): void {
    if (this.#hasEnded) return;
    if (this.#isStarting) {
      setImmediate(() => this.#fail(reason));
      return;
    }
    this.#hasEnded = true;
    this.#release(false);
    this.#sink.onError({ wasSent: this.#wasSent, reason });
  }
}
