/** Serves stand-ins over HTTP, with routes to set faults and read histories. */
import type { AddressInfo } from 'node:net';

import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';

import { trackSockets } from './crash';
import type { HistoryEntry } from './history';
import type { CommonSettings, StandIn } from './stand-in';

const BODY_LIMIT = 64 * 1024 * 1024;

/** A stand-in of any role. */
export interface AnyStandIn extends Pick<
  StandIn<CommonSettings>,
  'change' | 'history' | 'name' | 'register' | 'report' | 'stop'
> {
  readonly settings: object;
}

/** Where a server listens. Port zero takes a free one. */
export interface FakeServerOptions {
  readonly host?: string;
  readonly port?: number;
}

/** A running server of one or more stand-ins. */
export class FakeServer {
  readonly #app: FastifyInstance;

  readonly #standIns: readonly AnyStandIn[];

  private constructor(app: FastifyInstance, standIns: readonly AnyStandIn[]) {
    this.#app = app;
    this.#standIns = standIns;
  }

  /**
   * Starts a server.
   *
   * @param standIns - the services, with routes that don't clash
   * @param options - the address
   * @returns the server, once it listens
   */
  static async start(
    standIns: readonly AnyStandIn[],
    options: FakeServerOptions = {},
  ): Promise<FakeServer> {
    const app = fastify({ bodyLimit: BODY_LIMIT, forceCloseConnections: true });
    trackSockets(app.server);
    await app.register(async (scope) => registerAdmin(scope, standIns, '/admin'));
    for (const standIn of standIns) {
      const prefix = `/admin/${standIn.name}`;
      await app.register(async (scope) => registerAdmin(scope, [standIn], prefix));
      await app.register(async (scope) => standIn.register(scope));
    }
    await app.listen({ host: options.host ?? '127.0.0.1', port: options.port ?? 0 });
    return new FakeServer(app, standIns);
  }

  /** The address, `host:port`. */
  get address(): string {
    const { address, port } = this.#app.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** The base URL. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** Cuts all connections and stops. */
  async close(): Promise<void> {
    this.#standIns.forEach((standIn) => standIn.stop());
    await this.#app.close();
  }
}

function registerAdmin(
  app: FastifyInstance,
  standIns: readonly AnyStandIn[],
  prefix: string,
): void {
  app.post(`${prefix}/faults`, async (req) => {
    standIns.forEach((standIn) => standIn.change(req.body ?? {}));
    return collectSettings(standIns);
  });
  app.get(`${prefix}/faults`, async () => collectSettings(standIns));
  app.get(`${prefix}/history`, (_req, reply) => sendHistory(reply, standIns));
  app.delete(`${prefix}/history`, async () => {
    standIns.forEach((standIn) => standIn.history.clear());
    return {};
  });
}

function collectSettings(standIns: readonly AnyStandIn[]): Record<string, unknown> {
  return Object.fromEntries(standIns.map((standIn) => [standIn.name, standIn.settings]));
}

function sendHistory(reply: FastifyReply, standIns: readonly AnyStandIn[]): string {
  const lines = standIns.flatMap((standIn) =>
    standIn.report().map((entry) => line(standIn, entry)),
  );
  // A reply is a promise of its own end, so it must not be awaited before it is sent.
  void reply.type('application/x-ndjson');
  return lines.join('');
}

function line(standIn: AnyStandIn, entry: HistoryEntry): string {
  return `${JSON.stringify({ service: standIn.name, ...entry })}\n`;
}
