/** The configuration as the gateway uses it, whatever its format on the log. */
import type { Brand, Millis, RegionId, ServiceId, TeamId } from '@hibiscushill/base';

/** The version of a configuration; increases, but not always by one. */
export type ServingVersion = Brand<number, 'ServingVersion'>;

/** Identifies a model, whose weights engines load and serve. */
export type ModelId = Brand<string, 'ModelId'>;

/** The kind of a route's requests, which decides whether they may be repeated and how they run. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'stream' | 'rollout';

/** A service to which a route sends requests, and its share of them relative to other weights. */
export interface RouteBackend {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A host and path prefix, and how its requests are served. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly backends: readonly RouteBackend[];
  /** The longest time that a request may take. */
  readonly timeoutMs: Millis;
  /** The time in which requests should be answered. */
  readonly goalMs: Millis;
  /** The maximum of targets on which one request may run. */
  readonly maxRuns: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another target. */
  readonly isResumable: boolean;
  /** Whether one weight version must generate the whole output of an item. */
  readonly isSingleVersion: boolean;
  /** How long after its submission all results of a submission are due; 0 if not configured. */
  readonly resultsDueMs: Millis;
  /** How long after its submission an item may be abandoned; 0 if not configured. */
  readonly retentionMs: Millis;
  /** The regions in which its requests may run; undefined if they may run anywhere. */
  readonly allowedRegions?: readonly RegionId[];
}

/** How a service's targets may be used right after they start. */
export interface WarmUp {
  /** How long a target is cold after its start. */
  readonly durationMs: Millis;
  /** The requests a second that a cold target tolerates from all callers together. */
  readonly perSecond: number;
}

/** A service: a set of equivalent targets. */
export interface ServingService {
  readonly name: ServiceId;
  /** The models that its targets serve; empty if it isn't a service of model engines. */
  readonly models: readonly ModelId[];
  /** Undefined if its targets need no warm-up. */
  readonly warmUp?: WarmUp;
}

/** A team and the keys that its callers may use. */
export interface ServingTeam {
  readonly name: TeamId;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority; undefined if the team has none. */
  readonly priority: number | undefined;
  /** The regions in which its requests may run; undefined if they may run anywhere. */
  readonly allowedRegions?: readonly RegionId[];
}

/** The limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One version of the whole configuration. */
export interface ServingConfig {
  readonly version: ServingVersion;
  readonly routes: readonly ServingRoute[];
  readonly services: readonly ServingService[];
  readonly limits: CallerLimits;
  /** Undefined if no request needs a key. */
  readonly teams: readonly ServingTeam[] | undefined;
}
