/** One HTTP request and its answer, over connections that are kept for further ones. */
import type { Clock, Metrics, Millis } from '@hibiscushill/base';
import { Client, type Dispatcher, buildConnector } from 'undici';

/** A request as it is written. */
export interface ExchangeRequest {
  /** `IP:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body?: Uint8Array;
  /** Whether a connection of its own is needed, for what can't be repeated. */
  readonly isFresh?: boolean;
}

/** Why an exchange ended without a whole answer. */
export interface ExchangeError {
  /** Whether any byte of the request may have left. */
  readonly wasSent: boolean;
  readonly reason: string;
}

/** Takes the parts of an answer. Exactly one of `onEnd` and `onError` comes last. */
export abstract class ExchangeSink {
  /** Takes the status and the header names and values in turn. */
  abstract onHead(status: number, headers: readonly string[]): void;

  abstract onData(chunk: Buffer): void;

  /** The answer is whole. */
  abstract onEnd(): void;

  abstract onError(error: ExchangeError): void;
}

/** Ends an exchange by closing its connection. */
export type AbortExchange = () => void;

/** How connections are kept. */
export interface ExchangerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly connectTimeoutMs?: Millis;
  /** How long an idle connection is kept when its server doesn't tell. */
  readonly keepAliveMs?: Millis;
}

// A connection inside a region opens within a few milliseconds; past this its machine is gone.
const CONNECT_TIMEOUT_MS = 400;
// Below the idle time-outs that servers use without telling.
const KEEP_ALIVE_MS = 4_000;
// A request must not cross the server's close on the way.
const KEEP_ALIVE_MARGIN_MS = 300;
const MAX_HEADER_BYTES = 65_536;

interface KeptConnection {
  readonly client: Client;
  /** Whether the present connection ended by a reset rather than by an orderly close. */
  wasReset: boolean;
}

/** Sends requests, one at a time on each connection. */
export class HttpExchanger {
  readonly #options: ExchangerOptions;

  readonly #idle = new Map<string, KeptConnection[]>();

  /** @param options - the times of connections */
  constructor(options: ExchangerOptions) {
    this.#options = options;
  }

  /**
   * Sends a request.
   *
   * @param req - the request
   * @param sink - takes the answer
   * @returns ends the exchange early; the sink is then told of an error
   */
  send(req: ExchangeRequest, sink: ExchangeSink): AbortExchange {
    const connection = this.#take(req);
    const handler = new ExchangeHandler(connection, sink, (isKept) => {
      if (isKept) this.#keep(req.address, connection);
      else connection.client.destroy().catch(() => undefined);
    });
    // The library reports a request that it can't write inside this very call, in which the caller
    // doesn't know its exchange yet.
    handler.holdErrors(() => {
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
  forget(address: string): void {
    const connections = this.#idle.get(address) ?? [];
    this.#idle.delete(address);
    connections.forEach(({ client }) => client.destroy().catch(() => undefined));
  }

  /** Closes all idle connections. */
  close(): void {
    [...this.#idle.keys()].forEach((address) => this.forget(address));
  }

  #take({ address, isFresh }: ExchangeRequest): KeptConnection {
    const connections = isFresh ? [] : (this.#idle.get(address) ?? []);
    const kept = connections.pop();
    return kept ?? this.#open(address);
  }

  #keep(address: string, connection: KeptConnection): void {
    const connections = this.#idle.get(address) ?? [];
    this.#idle.set(address, connections);
    connections.push(connection);
  }

  #open(address: string): KeptConnection {
    const { metrics, connectTimeoutMs = CONNECT_TIMEOUT_MS } = this.#options;
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const state = { wasReset: false };
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: this.#options.keepAliveMs ?? KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (options, callback) =>
        connect(options, (error, socket) => {
          if (error) {
            callback(error, null);
            return;
          }
          metrics.count('target.connected');
          connection.wasReset = false;
          // The library takes a reset for the end of an answer without a length; this tells them
          // apart, and is registered before the library's own handler.
          socket.on('error', () => {
            connection.wasReset = true;
          });
          callback(null, socket);
        }),
    });
    const connection: KeptConnection = { client, ...state };
    client.on('disconnect', () => this.#drop(address, connection));
    return connection;
  }

  #drop(address: string, connection: KeptConnection): void {
    const connections = this.#idle.get(address);
    const at = connections?.indexOf(connection) ?? -1;
    if (at < 0) return;
    connections?.splice(at, 1);
    connection.client.destroy().catch(() => undefined);
  }
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #connection: KeptConnection;

  readonly #sink: ExchangeSink;

  readonly #settle: (isKept: boolean) => void;

  #wasSent = false;

  #isOver = false;

  #isStarting = false;

  #isFramed = true;

  #closes = false;

  constructor(connection: KeptConnection, sink: ExchangeSink, settle: (isKept: boolean) => void) {
    this.#connection = connection;
    this.#sink = sink;
    this.#settle = settle;
  }

  abort(): void {
    this.#fail('aborted');
  }

  /**
   * Starts the exchange, and reports what fails meanwhile in a later turn.
   *
   * @param start - hands the request to the library
   */
  holdErrors(start: () => void): void {
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
    if (this.#isOver || status < 200) return;
    const headers = ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((part) =>
      typeof part === 'string' ? part : part.toString('latin1'),
    );
    const names = headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
    this.#isFramed =
      names.includes('content-length') || names.includes('transfer-encoding') || status === 204;
    const connectionAt = names.indexOf('connection');
    this.#closes =
      connectionAt >= 0 && (headers[2 * connectionAt + 1] ?? '').toLowerCase() === 'close';
    this.#sink.onHead(status, headers);
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    if (!this.#isOver) this.#sink.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#isOver) return;
    if (!this.#isFramed && this.#connection.wasReset) {
      this.#fail('reset before the end of an answer without a length');
      return;
    }
    this.#isOver = true;
    this.#settle(this.#isFramed && !this.#closes);
    this.#sink.onEnd();
  }

  onResponseError(_controller: unknown, error: Error): void {
    const { code } = error as { code?: string };
    this.#fail(code ?? error.message);
  }

  #fail(reason: string): void {
    if (this.#isOver) return;
    if (this.#isStarting) {
      setImmediate(() => this.#fail(reason));
      return;
    }
    this.#isOver = true;
    this.#settle(false);
    this.#sink.onError({ wasSent: this.#wasSent, reason });
  }
}
