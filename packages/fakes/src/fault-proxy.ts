/** A TCP proxy that resets, silences, blocks or delays the connections through it. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { Transform } from 'node:stream';

import { onConnectionReset } from '@hibiscushill/base';
import fastify, { type FastifyInstance } from 'fastify';

const BOTH_DIRECTIONS: readonly ProxyDirection[] = ['up', 'down'];

/** A client's connection and the connection to the target that its bytes are forwarded on. */
interface ProxiedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
  /** Bytes on their way from the client to the target. */
  readonly up: Transform;
  /** Bytes on their way from the target to the client. */
  readonly down: Transform;
}

/** A direction of bytes through the proxy: `up` from client to target, `down` back. */
export type ProxyDirection = 'up' | 'down';

/** The address that a proxy listens on and the target that it forwards to, as `host:port`. */
export interface FaultProxyOptions {
  /** Default: a free port of 127.0.0.1. */
  readonly listen?: string;
  readonly target: string;
}

/** Forwards connections to a target and injects faults into them. */
export class FaultProxy {
  readonly #target: { host: string; port: number };

  readonly #server: Server;

  readonly #open = new Set<ProxiedConnection>();

  readonly #silent = new Set<ProxiedConnection>();

  #blocked: readonly ProxyDirection[] = [];

  #delayMs = 0;

  private constructor(target: string) {
    this.#target = parseAddress(target);
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#forward(client));
  }

  /**
   * Starts a proxy.
   *
   * @param options - the addresses
   * @returns the proxy, which listens already
   */
  static async start(options: FaultProxyOptions): Promise<FaultProxy> {
    const proxy = new FaultProxy(options.target);
    const { host, port } = parseAddress(options.listen ?? '127.0.0.1:0');
    await new Promise<void>((resolve, reject) => {
      proxy.#server.once('error', reject);
      proxy.#server.listen(port, host, resolve);
    });
    return proxy;
  }

  /** The address that the proxy listens on, `host:port`. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /**
   * How many connections are forwarded, how many are silenced, and whether any direction is
   * blocked. Served as JSON.
   */
  get state(): { open: number; silent: number; isBlocked: boolean } {
    return {
      open: this.#open.size,
      silent: this.#silent.size,
      isBlocked: this.#blocked.length > 0,
    };
  }

  /** Resets all connections. New connections work. */
  cut(): void {
    [...this.#open, ...this.#silent].forEach((connection) => this.#reset(connection));
  }

  /**
   * Stops forwarding on the open connections for good, without closing them. New connections work.
   */
  silence(): void {
    this.#open.forEach((connection) => {
      stopForwarding(connection, BOTH_DIRECTIONS);
      this.#silent.add(connection);
    });
    this.#open.clear();
  }

  /**
   * Stops forwarding on open and new connections, until `heal`.
   *
   * @param directions - the blocked directions; both by default
   */
  block(directions: readonly ProxyDirection[] = BOTH_DIRECTIONS): void {
    this.#blocked = [...new Set([...this.#blocked, ...directions])];
    this.#open.forEach((connection) => stopForwarding(connection, directions));
  }

  /**
   * Delays all bytes, until `heal`.
   *
   * @param delayMs - the delay of each chunk after the one before it, in milliseconds
   */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Ends blocks and delays and forwards the held bytes. Silenced connections stay silent. */
  heal(): void {
    this.#delayMs = 0;
    const directions = this.#blocked;
    this.#blocked = [];
    this.#open.forEach((connection) => resumeForwarding(connection, directions));
  }

  /** Resets all connections and stops listening. */
  async close(): Promise<void> {
    this.cut();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  #forward(client: Socket): void {
    const upstream = connect({ ...this.#target, allowHalfOpen: true });
    const connection: ProxiedConnection = {
      client,
      upstream,
      up: this.#createDelay(),
      down: this.#createDelay(),
    };
    this.#open.add(connection);
    client.setNoDelay(true);
    upstream.setNoDelay(true);
    [client, upstream].forEach((socket) => {
      onConnectionReset(socket, () => {
        if (!this.#silent.has(connection)) this.#reset(connection);
      });
      socket.once('close', () => this.#onSocketClosed(connection, socket));
    });
    client.pipe(connection.up).pipe(upstream);
    upstream.pipe(connection.down).pipe(client);
    stopForwarding(connection, this.#blocked);
  }

  #createDelay(): Transform {
    return new Transform({
      transform: (chunk, _encoding, pass) => {
        if (this.#delayMs === 0) pass(null, chunk);
        else setTimeout(() => pass(null, chunk), this.#delayMs);
      },
    });
  }

  // If a connection was silenced, its other end must not learn that it was closed.
  #onSocketClosed(connection: ProxiedConnection, closedSocket: Socket): void {
    if (this.#silent.has(connection)) return;
    const otherSocket =
      closedSocket === connection.client ? connection.upstream : connection.client;
    if (otherSocket.destroyed) this.#open.delete(connection);
    else if (!closedSocket.readableEnded) this.#reset(connection);
  }

  #reset(connection: ProxiedConnection): void {
    this.#silent.delete(connection);
    this.#open.delete(connection);
    connection.client.resetAndDestroy();
    connection.upstream.resetAndDestroy();
  }
}

/**
 * Creates the admin server of a proxy: `POST /admin/{cut,silence,block,heal}` and
 * `GET /admin/state`.
 *
 * @param proxy - the proxy to control
 * @returns the server, which does not listen yet
 */
export function createFaultProxyAdmin(proxy: FaultProxy): FastifyInstance {
  const app = fastify({ forceCloseConnections: true });
  (['cut', 'silence', 'block', 'heal'] as const).forEach((mode) => {
    app.post(`/admin/${mode}`, async () => {
      proxy[mode]();
      return proxy.state;
    });
  });
  app.get('/admin/state', async () => proxy.state);
  return app;
}

/**
 * Splits an address into host and port.
 *
 * @param address - `host:port`; the host may contain colons
 * @returns the host and the port
 */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function stopForwarding(
  { client, upstream, up, down }: ProxiedConnection,
  directions: readonly ProxyDirection[],
): void {
  if (directions.includes('up')) client.unpipe(up).pause();
  if (directions.includes('down')) upstream.unpipe(down).pause();
}

function resumeForwarding(
  { client, upstream, up, down }: ProxiedConnection,
  directions: readonly ProxyDirection[],
): void {
  if (directions.includes('up')) client.pipe(up);
  if (directions.includes('down')) upstream.pipe(down);
}
