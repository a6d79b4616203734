/** The routes `GET /healthz`, `/readyz` and `/status`. */
import type { IncarnationId, Metrics } from '@hibiscushill/base';
import type { ConfigStore } from '@hibiscushill/config';
import type { FastifyInstance } from 'fastify';

import type { AgentPool } from './agent-pool';
import type { OpenRequests } from './open-requests';
import type { EntrySettings } from './settings';

const HTTP_UNAVAILABLE = 503;

/** The parts of the entry whose state the status routes report. */
export interface StatusDeps {
  readonly cfg: EntrySettings;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly pool: AgentPool;
  readonly openRequests: OpenRequests;
  readonly metrics: Metrics;
  readonly isStopping: () => boolean;
  readonly duties: () => readonly DutyStatus[];
  readonly swaps: () => readonly object[];
}

/** A duty that this entry holds, and the fencing number of its lease. */
export interface DutyStatus {
  readonly duty: string;
  readonly fencing: number;
}

/**
 * Registers the status routes.
 *
 * @param app - the server
 * @param deps - the parts of the entry to report on
 */
export function registerStatusRoutes(app: FastifyInstance, deps: StatusDeps): void {
  app.get('/healthz', () => ({ alive: true }));
  app.get('/readyz', (_, res) => {
    const isReady = !deps.isStopping() && deps.config.isFresh(deps.cfg.configAgeMs);
    if (!isReady) void res.status(HTTP_UNAVAILABLE);
    return { ready: isReady };
  });
  app.get('/status', () => createStatus(deps));
}

function createStatus(deps: StatusDeps) {
  const { cfg, incarnation, config, pool, openRequests, metrics } = deps;
  return {
    instance: cfg.instance,
    zone: cfg.zone,
    role: 'entry',
    incarnation,
    ready: config.isFresh(cfg.configAgeMs),
    stopping: deps.isStopping(),
    configVersion: config.version,
    openRequests: openRequests.size,
    duties: deps.duties(),
    swaps: deps.swaps(),
    targets: pool.clients.map((client) => ({
      address: client.address,
      target: client.hello?.target,
      service: client.hello?.service,
      zone: client.hello?.availabilityZone,
      incarnation: client.hello?.incarnation,
      configVersion: client.configVersion,
      up: client.isConnected,
      ready: client.load.ready,
      leaving: client.isLeaving,
      running: client.load.running,
      queued: client.load.queued,
      slots: client.load.slots,
      open: client.openAttemptCount,
      weights: client.load.weights,
    })),
    counts: metrics.counts(),
  };
}
