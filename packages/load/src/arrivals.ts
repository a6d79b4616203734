/** Plans the requests of a run: open loop, and reproducible from the seed. */
import { type Millis, RandomSource } from '@hibiscushill/base';

import type { Arrival, LoadRoute, LoadTeam, Scenario } from './scenario';

/** A request and the time to send it. */
export interface PlannedRequest {
  readonly id: string;
  readonly team: LoadTeam;
  readonly route: LoadRoute;
  /** When to send the request, in milliseconds since the start of the run. */
  readonly dueMs: Millis;
}

// The generator's first values hardly differ between small seeds.
const DISCARDED_DRAWS = 32;
// Every team has a seed of its own, so that its arrivals stay the same when teams are added.
const TEAM_SEEDS_PER_RUN = 1024;
const MS_PER_SECOND = 1000;

/**
 * Creates a random source whose first values differ between similar seeds.
 *
 * @param seed - the seed
 * @returns the source, which yields the same values for the same seed
 */
export function createSeededRandom(seed: number): RandomSource {
  const random = new RandomSource(seed);
  Array.from({ length: DISCARDED_DRAWS }, () => random.fraction());
  return random;
}

/**
 * Generates one team's requests.
 *
 * @param scenario - the scenario
 * @param index - the team's index in `scenario.teams`
 * @returns the requests in the order of their due times, until the run or the team's arrivals end
 */
export function* planTeamRequests(scenario: Scenario, index: number): Generator<PlannedRequest> {
  const team = scenario.teams[index] as LoadTeam;
  const random = createSeededRandom(scenario.seed * TEAM_SEEDS_PER_RUN + index);
  const untilMs = Math.min(scenario.durationMs, team.arrival.untilMs);
  let count = 0;
  for (const dueMs of generateDueTimes(team.arrival, random)) {
    if (dueMs >= untilMs) return;
    const id = `${team.name}-${scenario.seed}-${count}`;
    yield { id, team, route: pickRoute(team.routes, random), dueMs };
    count += 1;
  }
}

/** Generates the times of an arrival process without end, in milliseconds since the start. */
function* generateDueTimes(arrival: Arrival, random: RandomSource): Generator<Millis> {
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

/** Chooses a route with a probability in proportion to its weight. */
function pickRoute(routes: readonly LoadRoute[], random: RandomSource): LoadRoute {
  let remaining = random.fraction() * routes.reduce((sum, route) => sum + route.weight, 0);
  for (const route of routes) {
    remaining -= route.weight;
    if (remaining < 0) return route;
  }
  return routes.at(-1) as LoadRoute;
}
