/** The format of a scenario file, which declares the requests of a run. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';
import { z } from 'zod';

const MAX_DURATION_MS = 600_000;
const MAX_CONNECTIONS = 1024;
const MAX_REQUESTS_PER_SECOND = 50_000;

/** When a team's requests are sent: bursts at a fixed interval, or a Poisson process. */
export const Arrival = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('poisson'),
    perSecond: z.number().positive().max(MAX_REQUESTS_PER_SECOND),
    /** When sending begins and ends, in milliseconds since the start of the run. */
    fromMs: z.number().min(0).default(0),
    untilMs: z.number().positive().default(MAX_DURATION_MS),
  }),
  z.strictObject({
    kind: z.literal('bursts'),
    /** Requests per burst. */
    size: z.number().int().positive().max(MAX_REQUESTS_PER_SECOND),
    everyMs: z.number().positive(),
    fromMs: z.number().min(0).default(0),
    untilMs: z.number().positive().default(MAX_DURATION_MS),
  }),
]);

/** A kind of request. `{id}` in the path, body and headers is replaced by the request's id. */
export const LoadRoute = z.strictObject({
  /** The route's relative frequency among the team's routes. */
  weight: z.number().positive().default(1),
  method: z.string().default('GET'),
  path: z.string().startsWith('/'),
  headers: z.record(z.string(), z.string()).default({}),
  body: z.string().optional(),
  /** How a response is checked: JSON that contains the id, a complete token stream, or no check. */
  expect: z.enum(['echo', 'tokens', 'any']).default('echo'),
  /** A response that ends later than this after its planned time counts as late. */
  deadlineMs: z.number().positive().default(1000),
});

/** The requests that one team sends. */
export const LoadTeam = z.strictObject({
  name: z.string(),
  /** The team's API key, sent as a bearer token. */
  key: z.string().optional(),
  arrival: Arrival,
  routes: z.array(LoadRoute).min(1),
});

/** The requests of a run, by team. */
export const Scenario = z.strictObject({
  seed: z.number().int().default(1),
  durationMs: z.number().positive().max(MAX_DURATION_MS),
  maxConnections: z.number().int().positive().max(MAX_CONNECTIONS).default(128),
  teams: z.array(LoadTeam).min(1),
});

export type Arrival = z.infer<typeof Arrival>;
export type LoadRoute = z.infer<typeof LoadRoute>;
export type LoadTeam = z.infer<typeof LoadTeam>;
export type Scenario = z.infer<typeof Scenario>;

/**
 * Parses and validates a scenario.
 *
 * @param text - the content of the scenario file, as JSON
 * @returns the scenario with its defaults filled in, or `request_invalid` with every problem
 */
export function parseScenario(text: string): Result<Scenario, Failure> {
  try {
    const parsed = Scenario.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : rejectScenario(z.prettifyError(parsed.error));
  } catch (error) {
    return rejectScenario(String(error));
  }
}

function rejectScenario(detail: string): Result<Scenario, Failure> {
  return err(createFailure('request_invalid', { detail }));
}
