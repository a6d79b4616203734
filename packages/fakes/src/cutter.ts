/** A TCP relay that cuts, silences, blocks or delays the connections through it. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { Transform } from 'node:stream';

import fastify, { type FastifyInstance } from 'fastify';

const BOTH_WAYS: readonly CutterWay[] = ['up', 'down'];

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** What `near` has sent, on its way to `far`. */
  readonly up: Transform;
  readonly down: Transform;
}

/** The way of bytes through the relay: `up` from whoever connects, `down` to it. */
export type CutterWay = 'up' | 'down';

/** Where a relay listens and what it forwards to. Addresses are `host:port`. */
export interface CutterOptions {
  readonly listen?: string;
  readonly target: string;
}

/** Forwards bytes both ways until told otherwise. */
export class Cutter {
  readonly #target: { host: string; port: number };

  readonly #server: Server;

  readonly #open = new Set<Pair>();

  readonly #silent = new Set<Pair>();

  #blocked: readonly CutterWay[] = [];

  #delayMs = 0;

  private constructor(target: string) {
    this.#target = parseAddress(target);
    this.#server = createServer({ allowHalfOpen: true }, (near) => this.#relay(near));
  }

  /**
   * Starts a relay.
   *
   * @param options - the addresses
   * @returns the relay, once it listens
   */
  static async start(options: CutterOptions): Promise<Cutter> {
    const cutter = new Cutter(options.target);
    const { host, port } = parseAddress(options.listen ?? '127.0.0.1:0');
    await new Promise<void>((resolve, reject) => {
      cutter.#server.once('error', reject);
      cutter.#server.listen(port, host, resolve);
    });
    return cutter;
  }

  /** The address, `host:port`. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** How many connections pass bytes, and how many have gone silent. */
  get state(): { open: number; silent: number; isBlocked: boolean } {
    return {
      open: this.#open.size,
      silent: this.#silent.size,
      isBlocked: this.#blocked.length > 0,
    };
  }

  /** Resets all connections. New ones work. */
  cut(): void {
    [...this.#open, ...this.#silent].forEach((pair) => this.#reset(pair));
  }

  /** Makes the open connections pass nothing for good, without closing them. New ones work. */
  silence(): void {
    this.#open.forEach((pair) => {
      pause(pair, BOTH_WAYS);
      this.#silent.add(pair);
    });
    this.#open.clear();
  }

  /**
   * Makes the open connections and new ones pass nothing, until healed.
   *
   * @param ways - one way only, or both
   */
  block(ways: readonly CutterWay[] = BOTH_WAYS): void {
    this.#blocked = [...new Set([...this.#blocked, ...ways])];
    this.#open.forEach((pair) => pause(pair, ways));
  }

  /**
   * Makes all bytes arrive late, until healed.
   *
   * @param delayMs - how late each piece comes after the one before, in milliseconds
   */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Ends blocks and delays: what was held back passes. Silenced connections stay silent. */
  heal(): void {
    this.#delayMs = 0;
    const ways = this.#blocked;
    this.#blocked = [];
    this.#open.forEach((pair) => resume(pair, ways));
  }

  /** Resets all connections and stops. */
  async close(): Promise<void> {
    this.cut();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  #relay(near: Socket): void {
    const far = connect({ ...this.#target, allowHalfOpen: true });
    const pair: Pair = { near, far, up: this.#createPassage(), down: this.#createPassage() };
    this.#open.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.pipe(pair.up).pipe(far);
    far.pipe(pair.down).pipe(near);
    [near, far].forEach((socket) => {
      socket.on('error', () => {
        if (!this.#silent.has(pair)) this.#reset(pair);
      });
      socket.once('close', () => this.#forget(pair, socket));
    });
    pause(pair, this.#blocked);
  }

  #createPassage(): Transform {
    return new Transform({
      transform: (chunk, _encoding, pass) => {
        if (this.#delayMs === 0) pass(null, chunk);
        else setTimeout(() => pass(null, chunk), this.#delayMs);
      },
    });
  }

  // Where the connection has gone silent, the other end must not learn of the close.
  #forget(pair: Pair, closed: Socket): void {
    if (this.#silent.has(pair)) return;
    const other = closed === pair.near ? pair.far : pair.near;
    if (other.destroyed) this.#open.delete(pair);
    else if (!closed.readableEnded) this.#reset(pair);
  }

  #reset(pair: Pair): void {
    this.#silent.delete(pair);
    this.#open.delete(pair);
    pair.near.resetAndDestroy();
    pair.far.resetAndDestroy();
  }
}

/**
 * Serves a relay's controls: `POST /admin/{cut,silence,block,heal}` and `GET /admin/state`.
 *
 * @param cutter - the relay
 * @returns the server, which doesn't listen yet
 */
export function createCutterAdmin(cutter: Cutter): FastifyInstance {
  const app = fastify({ forceCloseConnections: true });
  (['cut', 'silence', 'block', 'heal'] as const).forEach((mode) => {
    app.post(`/admin/${mode}`, async () => {
      cutter[mode]();
      return cutter.state;
    });
  });
  app.get('/admin/state', async () => cutter.state);
  return app;
}

/**
 * Splits an address.
 *
 * @param address - `host:port`
 * @returns its parts
 */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function pause({ near, far, up, down }: Pair, ways: readonly CutterWay[]): void {
  if (ways.includes('up')) near.unpipe(up).pause();
  if (ways.includes('down')) far.unpipe(down).pause();
}

function resume({ near, far, up, down }: Pair, ways: readonly CutterWay[]): void {
  if (ways.includes('up')) near.pipe(up);
  if (ways.includes('down')) far.pipe(down);
}
