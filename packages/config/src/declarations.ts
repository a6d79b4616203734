/** The schemas of the declarations, which operators keep under version control. */
import type { KeyId, ServiceId, TeamId, TrainerId, ZoneId } from '@hibiscushill/base';
import { z } from 'zod';

/** The version of the declaration format. */
export const API_VERSION = 'hibiscushill/v1';

const NAME_SCHEMA = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'must be a lower-case name');

function nameSchema<T>(): z.ZodType<T> {
  return NAME_SCHEMA as unknown as z.ZodType<T>;
}

/** A team's limits across all entries together. */
export const TeamBounds = z.strictObject({
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  inFlight: z.number().int().positive(),
});

/** A customer whose traffic is admitted, limited and billed together. */
export const Team = z.strictObject({
  name: nameSchema<TeamId>(),
  weight: z.number().positive().default(1),
  bounds: TeamBounds,
});

/** A caller's API key. Only the SHA-256 hash of its secret is declared. */
export const Key = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9]{1,32}$/) as unknown as z.ZodType<KeyId>,
  team: nameSchema<TeamId>(),
  hash: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in hexadecimal'),
  state: z.enum(['active', 'withdrawn']).default('active'),
});

/** A route of a service: a method or `*`, and a path with an optional trailing `*`. */
export const Route = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', '*']),
  path: z.string().startsWith('/'),
  public: z.boolean().default(false),
  idempotent: z.boolean().default(false),
});

/** The minimum and maximum number of a service's targets in an availability zone. */
export const ServiceZone = z.strictObject({
  zone: nameSchema<ZoneId>(),
  least: z.number().int().min(0),
  most: z.number().int().min(0),
});

/**
 * A service that callers reach under `/s/{name}/`. `slots` is the number of requests that a target
 * runs at a time; `checksFencing` tells whether its targets check fencing numbers.
 */
export const Service = z.strictObject({
  name: nameSchema<ServiceId>(),
  kind: z.enum(['model', 'plain']),
  routes: z.array(Route).min(1),
  deadlineMs: z.number().int().positive(),
  zones: z.array(ServiceZone).min(1),
  slots: z.number().int().positive().default(8),
  checksFencing: z.boolean().default(false),
});

/** The maximum age of a sample that a trainer accepts, in weight versions and in milliseconds. */
export const StalenessBound = z.strictObject({
  versions: z.number().int().min(0),
  ms: z.number().int().positive(),
});

/** A trainer. `swapShare` is the maximum fraction of its targets that swap weights at a time. */
export const Trainer = z.strictObject({
  name: nameSchema<TrainerId>(),
  team: nameSchema<TeamId>(),
  service: nameSchema<ServiceId>(),
  staleness: StalenessBound,
  swapShare: z.number().positive().max(1).default(0.34),
});

/** The declarations of one version of the configuration. */
export const Declarations = z.strictObject({
  teams: z.array(Team).default([]),
  keys: z.array(Key).default([]),
  services: z.array(Service).default([]),
  trainers: z.array(Trainer).default([]),
});

export type TeamBounds = z.infer<typeof TeamBounds>;
export type Team = z.infer<typeof Team>;
export type Key = z.infer<typeof Key>;
export type Route = z.infer<typeof Route>;
export type ServiceZone = z.infer<typeof ServiceZone>;
export type Service = z.infer<typeof Service>;
export type StalenessBound = z.infer<typeof StalenessBound>;
export type Trainer = z.infer<typeof Trainer>;
export type Declarations = z.infer<typeof Declarations>;
