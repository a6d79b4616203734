/** The planned requests of a run: open loop, and the same for the same seed. */
import { type Millis, RandomSource } from '@hibiscushill/base';

import type { Arrival, LoadRoute, LoadTeam, Scenario } from './scenario';

/** A request that is going to be sent. */
export interface PlannedRequest {
  readonly id: string;
  readonly team: LoadTeam;
  readonly route: LoadRoute;
  /** Since the start of the run, in milliseconds. */
  readonly dueMs: Millis;
}

// The generator's first values hardly differ between small seeds.
const WARM_UP_DRAWS = 32;
// A team's arrivals stay the same when other teams are added.
const SEEDS_PER_RUN = 1024;
const MS_PER_SECOND = 1000;

/**
 * Makes a random source whose first values depend on the seed.
 *
 * @param seed - the seed
 * @returns the source
 */
export function createSeededSource(seed: number): RandomSource {
  const random = new RandomSource(seed);
  Array.from({ length: WARM_UP_DRAWS }, () => random.fraction());
  return random;
}

/**
 * Plans one team's requests.
 *
 * @param scenario - the scenario
 * @param index - the team's place in it
 * @returns the requests, in the order of their times
 */
export function* planTeam(scenario: Scenario, index: number): Generator<PlannedRequest> {
  const team = scenario.teams[index] as LoadTeam;
  const random = createSeededSource(scenario.seed * SEEDS_PER_RUN + index);
  const untilMs = Math.min(scenario.durationMs, team.arrival.untilMs);
  let count = 0;
  for (const dueMs of planTimes(team.arrival, random)) {
    if (dueMs >= untilMs) return;
    const id = `${team.name}-${scenario.seed}-${count}`;
    yield { id, team, route: pickRoute(team.routes, random), dueMs };
    count += 1;
  }
}

function* planTimes(arrival: Arrival, random: RandomSource): Generator<Millis> {
  let dueMs = arrival.fromMs;
  for (;;) {
    if (arrival.kind === 'poisson') {
      dueMs += random.exponential(MS_PER_SECOND / arrival.perSecond);
      yield dueMs;
    } else {
      for (let sent = 0; sent < arrival.size; sent += 1) yield dueMs;
      dueMs += arrival.everyMs;
    }
  }
}

function pickRoute(routes: readonly LoadRoute[], random: RandomSource): LoadRoute {
  let left = random.fraction() * routes.reduce((sum, route) => sum + route.weight, 0);
  for (const route of routes) {
    left -= route.weight;
    if (left < 0) return route;
  }
  return routes.at(-1) as LoadRoute;
}
