/** `GET /healthz`, `/readyz` and `/status`. */
import type { IncarnationId, Metrics } from '@hibiscushill/base';
import type { ConfigStore } from '@hibiscushill/config';
import type { FastifyInstance } from 'fastify';

import type { AgentPool } from './agent-pool';
import type { OpenRequests } from './open-requests';
import type { EntrySettings } from './settings';

const HTTP_UNAVAILABLE = 503;

/** What the status is read from. */
export interface StatusDeps {
  readonly cfg: EntrySettings;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly pool: AgentPool;
  readonly open: OpenRequests;
  readonly metrics: Metrics;
  readonly isStopping: () => boolean;
  readonly duties: () => readonly DutyStatus[];
  readonly swaps: () => readonly object[];
}

/** A duty that this entry holds. */
export interface DutyStatus {
  readonly duty: string;
  readonly fencing: number;
}

/**
 * Registers the status routes.
 *
 * @param app - the server
 * @param deps - what the status is read from
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
  const { cfg, incarnation, config, pool, open, metrics } = deps;
  return {
    instance: cfg.instance,
    zone: cfg.zone,
    role: 'entry',
    incarnation,
    ready: config.isFresh(cfg.configAgeMs),
    stopping: deps.isStopping(),
    configVersion: config.version,
    openRequests: open.size,
    duties: deps.duties(),
    swaps: deps.swaps(),
    targets: pool.peers.map((peer) => ({
      address: peer.address,
      target: peer.hello?.target,
      service: peer.hello?.service,
      zone: peer.hello?.availabilityZone,
      incarnation: peer.hello?.incarnation,
      configVersion: peer.configVersion,
      up: peer.isUp,
      ready: peer.load.ready,
      leaving: peer.load.leaving,
      running: peer.load.running,
      queued: peer.load.queued,
      slots: peer.load.slots,
      open: peer.openAttempts,
      weights: peer.load.weights,
    })),
    counts: metrics.counts(),
  };
}
