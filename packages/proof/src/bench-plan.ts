/** Deployments for measurements, with bounds of their own. */
import type { CreatedKey, Declarations } from '@hibiscushill/config';

import type { ClusterPlan } from './cluster';
import { type ExampleOptions, createExamplePlan } from './example';

/** What each team of a measurement may use. */
export type BenchBounds = Readonly<Record<string, Declarations['teams'][number]['bounds']>>;

/** Bounds that no measurement reaches. */
export const WIDE_BOUNDS = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, inFlight: 1e6 };

/**
 * Plans a deployment.
 *
 * @param options - how many of each, and their settings
 * @param bounds - the teams' bounds; a team that isn't named has wide ones
 * @returns the plan
 */
export function createBenchPlan(options: ExampleOptions, bounds: BenchBounds = {}): ClusterPlan {
  const plan = createExamplePlan(options);
  const declarations = (keys: ReadonlyMap<string, CreatedKey>): Declarations => {
    const declared = plan.declarations(keys) as Declarations;
    const teams = declared.teams.map((team) => ({
      ...team,
      bounds: bounds[team.name] ?? WIDE_BOUNDS,
    }));
    return { ...declared, teams };
  };
  return { ...plan, declarations };
}
