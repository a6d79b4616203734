/** The traffic of a run, as a scenario file declares it. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

const MOST_DURATION_MS = 600_000;
const MOST_CONNECTIONS = 1024;
const MOST_PER_SECOND = 50_000;

/** When a team's requests are sent. Bursts come at even times; Poisson arrivals at random ones. */
export const Arrival = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('poisson'),
    perSecond: z.number().positive().max(MOST_PER_SECOND),
    /** Sends from then on, in milliseconds since the start. */
    fromMs: z.number().min(0).default(0),
    untilMs: z.number().positive().default(MOST_DURATION_MS),
  }),
  z.strictObject({
    kind: z.literal('bursts'),
    size: z.number().int().positive().max(MOST_PER_SECOND),
    everyMs: z.number().positive(),
    fromMs: z.number().min(0).default(0),
    untilMs: z.number().positive().default(MOST_DURATION_MS),
  }),
]);

/** A kind of request. `{id}` in path, body and headers stands for the request's id. */
export const LoadRoute = z.strictObject({
  weight: z.number().positive().default(1),
  method: z.string().default('GET'),
  path: z.string().startsWith('/'),
  headers: z.record(z.string(), z.string()).default({}),
  body: z.string().optional(),
  /** What a whole answer is: one that holds the id, a whole stream of tokens, or any. */
  expect: z.enum(['echo', 'tokens', 'any']).default('echo'),
  /** An answer after this time is late. */
  deadlineMs: z.number().positive().default(1000),
});

/** A team's traffic. */
export const LoadTeam = z.strictObject({
  name: z.string(),
  key: z.string().optional(),
  arrival: Arrival,
  routes: z.array(LoadRoute).min(1),
});

/** The traffic of a run. */
export const Scenario = z.strictObject({
  seed: z.number().int().default(1),
  durationMs: z.number().positive().max(MOST_DURATION_MS),
  maxConnections: z.number().int().positive().max(MOST_CONNECTIONS).default(128),
  teams: z.array(LoadTeam).min(1),
});

export type Arrival = z.infer<typeof Arrival>;
export type LoadRoute = z.infer<typeof LoadRoute>;
export type LoadTeam = z.infer<typeof LoadTeam>;
export type Scenario = z.infer<typeof Scenario>;

/**
 * Reads a scenario.
 *
 * @param text - the scenario file's JSON
 * @returns the scenario, or `request_invalid` with every problem
 */
export function parseScenario(text: string): Result<Scenario, Failure> {
  try {
    const parsed = Scenario.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : refuse(z.prettifyError(parsed.error));
  } catch (error) {
    return refuse(String(error));
  }
}

function refuse(detail: string): Result<Scenario, Failure> {
  return err(createFailure('request_invalid', { detail }));
}
