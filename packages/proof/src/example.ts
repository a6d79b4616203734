/** The deployment that the demo and the proofs run on. */
import type { CreatedKey } from '@hibiscushill/config';

import type { ClusterPlan, TargetPlan } from './cluster';

/** The teams of the example; the first is large. */
export const EXAMPLE_TEAMS = ['harbour', 'orchard', 'valley'] as const;

/** The trainers of the example, each with its team. */
export const EXAMPLE_TRAINERS = [
  { trainer: 'rind-notes', team: 'orchard' },
  { trainer: 'brine-notes', team: 'valley' },
  { trainer: 'cellar-notes', team: 'harbour' },
] as const;

/** How many versions a sample may be behind. */
export const EXAMPLE_STALENESS_VERSIONS = 2;

const ZONES = ['ba', 'nadi'] as const;

/** Options of the example deployment. */
export interface ExampleOptions {
  readonly seed: number;
  readonly engines?: number;
  readonly plains?: number;
  readonly entries?: number;
  readonly engineSettings?: object;
  readonly plainSettings?: object;
  readonly platformSettings?: object;
  readonly entryArgs?: readonly string[];
  readonly agentArgs?: readonly string[];
}

/**
 * Plans a deployment of two services over two availability zones.
 *
 * @param options - how many of each, and their settings
 * @returns the plan
 */
export function createExamplePlan(options: ExampleOptions): ClusterPlan {
  const { seed, engines = 3, plains = 1, entries = 2 } = options;
  const models = Array.from({ length: engines }, (_, index) =>
    createTarget('tasting-models', 'engine', index, options.engineSettings),
  );
  const desks = Array.from({ length: plains }, (_, index) =>
    createTarget('sales-desk', 'plain', index, options.plainSettings),
  );
  return {
    seed,
    teams: EXAMPLE_TEAMS,
    declarations: createDeclarations,
    targets: [...models, ...desks],
    entries: Array.from({ length: entries }, (_, index) => ({
      instance: `entry-${index + 1}`,
      zone: zoneOf(index),
    })),
    ...(options.platformSettings && { platformSettings: options.platformSettings }),
    ...(options.entryArgs && { entryArgs: options.entryArgs }),
    ...(options.agentArgs && { agentArgs: options.agentArgs }),
  };
}

function createTarget(
  service: string,
  role: TargetPlan['role'],
  index: number,
  settings?: object,
): TargetPlan {
  const target = `${service}-${index + 1}`;
  const base = { target, service, role, zone: zoneOf(index), slots: role === 'engine' ? 8 : 64 };
  return settings ? { ...base, settings } : base;
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0];
}

function createDeclarations(keys: ReadonlyMap<string, CreatedKey>): unknown {
  const zones = ZONES.map((zone) => ({ zone, least: 1, most: 8 }));
  return {
    teams: EXAMPLE_TEAMS.map((name, index) => ({
      name,
      weight: index === 0 ? 2 : 1,
      bounds: { requestsPerSecond: 2000, tokensPerSecond: 2_000_000, inFlight: 2000 },
    })),
    keys: [...keys].map(([team, key]) => ({ id: key.id, team, hash: key.hash, state: 'active' })),
    services: [
      {
        name: 'tasting-models',
        kind: 'model',
        deadlineMs: 10_000,
        slots: 8,
        checksFencing: true,
        zones,
        routes: [{ method: 'POST', path: '/generate', public: false, idempotent: true }],
      },
      {
        name: 'sales-desk',
        kind: 'plain',
        deadlineMs: 10_000,
        slots: 64,
        checksFencing: false,
        zones,
        routes: [
          { method: 'GET', path: '/echo', public: true, idempotent: true },
          { method: 'GET', path: '/lots/*', public: false, idempotent: true },
          { method: 'POST', path: '/orders', public: false, idempotent: false },
        ],
      },
    ],
    trainers: EXAMPLE_TRAINERS.map(({ trainer, team }) => ({
      name: trainer,
      team,
      service: 'tasting-models',
      staleness: { versions: EXAMPLE_STALENESS_VERSIONS, ms: 600_000 },
      swapShare: 0.34,
    })),
  };
}
