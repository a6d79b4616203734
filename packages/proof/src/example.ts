/** The deployment that the demo and the proofs run on. */
import type { CreatedKey } from '@hibiscushill/config';

import type { ClusterPlan, TargetPlan } from './cluster';

/** The teams of the example; the first one has twice the weight of the others. */
export const EXAMPLE_TEAMS = ['harbour', 'orchard', 'valley'] as const;

/** The trainers of the example, each with its team. */
export const EXAMPLE_TRAINERS = [
  { trainer: 'rind-notes', team: 'orchard' },
  { trainer: 'brine-notes', team: 'valley' },
  { trainer: 'cellar-notes', team: 'harbour' },
] as const;

/** How many weight versions a sample may be behind the newest one. */
export const EXAMPLE_MAX_VERSIONS_BEHIND = 2;

const ZONES = ['ba', 'nadi'] as const;

/** Options of the example deployment. */
export interface ExampleOptions {
  readonly seed: number;
  /** The number of targets that are inference engines, of the service `tasting-models`. */
  readonly engines?: number;
  /** The number of plain targets, of the service `sales-desk`. */
  readonly plainTargets?: number;
  /** The number of entries. */
  readonly entries?: number;
  /** Settings of the fakes. */
  readonly engineSettings?: object;
  readonly plainSettings?: object;
  readonly platformSettings?: object;
  /** Further arguments of every entry; `agentArgs` those of every agent. */
  readonly entryArgs?: readonly string[];
  readonly agentArgs?: readonly string[];
}

/**
 * Plans a deployment of two services over two availability zones.
 *
 * @param options - the numbers of entries and targets, and their settings
 * @returns the plan
 */
export function createExamplePlan(options: ExampleOptions): ClusterPlan {
  const { seed, engines = 3, plainTargets = 1, entries = 2 } = options;
  const modelTargets = Array.from({ length: engines }, (_, index) =>
    createTarget('tasting-models', 'engine', index, options.engineSettings),
  );
  const deskTargets = Array.from({ length: plainTargets }, (_, index) =>
    createTarget('sales-desk', 'plain', index, options.plainSettings),
  );
  return {
    seed,
    teams: EXAMPLE_TEAMS,
    declarations: createDeclarations,
    targets: [...modelTargets, ...deskTargets],
    entries: Array.from({ length: entries }, (_, index) => ({
      instance: `entry-${index + 1}`,
      zone: chooseZone(index),
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
  const base = {
    target,
    service,
    role,
    zone: chooseZone(index),
    slots: role === 'engine' ? 8 : 64,
  };
  return settings ? { ...base, settings } : base;
}

function chooseZone(index: number): string {
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
      staleness: { versions: EXAMPLE_MAX_VERSIONS_BEHIND, ms: 600_000 },
      swapShare: 0.34,
    })),
  };
}
