/** Serves fake services over HTTP, with admin routes that set faults and read histories. */
import type { AddressInfo } from 'node:net';

import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';

import { trackSockets } from './crash';
import type { CommonSettings, FakeService } from './fake-service';
import type { HistoryEntry } from './history';

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

/** A fake service with any type of settings. */
export interface AnyFakeService extends Pick<
  FakeService<CommonSettings>,
  'changeSettings' | 'history' | 'name' | 'registerRoutes' | 'listHistory' | 'stop'
> {
  readonly settings: object;
}

/** The address that a server listens on. Defaults: 127.0.0.1 and port 0, a free port. */
export interface FakeServerOptions {
  readonly host?: string;
  readonly port?: number;
}

/** A running HTTP server of one or more fake services. */
export class FakeServer {
  readonly #app: FastifyInstance;

  readonly #services: readonly AnyFakeService[];

  private constructor(app: FastifyInstance, services: readonly AnyFakeService[]) {
    this.#app = app;
    this.#services = services;
  }

  /**
   * Starts a server for fake services.
   *
   * @param services - the fake services; their routes must not overlap
   * @param options - the address to listen on
   * @returns the server, which listens already
   */
  static async start(
    services: readonly AnyFakeService[],
    options: FakeServerOptions = {},
  ): Promise<FakeServer> {
    const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    trackSockets(app.server);
    await app.register(async (scope) => registerAdmin(scope, services, '/admin'));
    for (const service of services) {
      const prefix = `/admin/${service.name}`;
      await app.register(async (scope) => registerAdmin(scope, [service], prefix));
      await app.register(async (scope) => service.registerRoutes(scope));
    }
    await app.listen({ host: options.host ?? '127.0.0.1', port: options.port ?? 0 });
    return new FakeServer(app, services);
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

  /** Stops the services, closes all connections and stops listening. */
  async close(): Promise<void> {
    this.#services.forEach((service) => service.stop());
    await this.#app.close();
  }
}

function registerAdmin(
  app: FastifyInstance,
  services: readonly AnyFakeService[],
  prefix: string,
): void {
  app.post(`${prefix}/faults`, async (req) => {
    services.forEach((service) => service.changeSettings(req.body ?? {}));
    return collectSettings(services);
  });
  app.get(`${prefix}/faults`, async () => collectSettings(services));
  app.get(`${prefix}/history`, (_req, reply) => sendHistory(reply, services));
  app.delete(`${prefix}/history`, async () => {
    services.forEach((service) => service.history.clear());
    return {};
  });
}

function collectSettings(services: readonly AnyFakeService[]): Record<string, unknown> {
  return Object.fromEntries(services.map((service) => [service.name, service.settings]));
}

function sendHistory(reply: FastifyReply, services: readonly AnyFakeService[]): string {
  const lines = services.flatMap((service) =>
    service.listHistory().map((entry) => formatEntry(service, entry)),
  );
  // Fastify's reply is a promise that resolves when the response was sent, so awaiting it here
  // would never end.
  void reply.type('application/x-ndjson');
  return lines.join('');
}

function formatEntry(service: AnyFakeService, entry: HistoryEntry): string {
  return `${JSON.stringify({ service: service.name, ...entry })}\n`;
}
