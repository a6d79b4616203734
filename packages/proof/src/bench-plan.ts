/** Plans of deployments for benchmarks: the example deployment with other bounds of the teams. */
import type { CreatedKey, Declarations } from '@hibiscushill/config';

import type { ClusterPlan } from './cluster';
import { type ExampleOptions, createExamplePlan } from './example';

/** The bounds of teams, by team. */
export type BenchBounds = Readonly<Record<string, Declarations['teams'][number]['bounds']>>;

/** Bounds that no benchmark reaches. */
export const WIDE_BOUNDS = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, inFlight: 1e6 };

/**
 * Plans a deployment.
 *
 * @param options - the numbers of entries and targets, and their settings
 * @param bounds - the teams' bounds; a team without any gets `WIDE_BOUNDS`
 * @returns the plan
 */
export function createBenchPlan(options: ExampleOptions, bounds: BenchBounds = {}): ClusterPlan {
  const plan = createExamplePlan(options);
  const declarations = (keys: ReadonlyMap<string, CreatedKey>): Declarations => {
    const original = plan.declarations(keys) as Declarations;
    const teams = original.teams.map((team) => ({
      ...team,
      bounds: bounds[team.name] ?? WIDE_BOUNDS,
    }));
    return { ...original, teams };
  };
  return { ...plan, declarations };
}
