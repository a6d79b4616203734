/** What the operators have configured, as the gateway uses it. */
import type { Brand, Millis, ServiceId, TeamId } from '@hibiscushill/base';

/** A configuration's version; rises in uneven steps. */
export type ServingVersion = Brand<number, 'ServingVersion'>;

/** A model that engines serve. */
export type ModelId = Brand<string, 'ModelId'>;

/** What a route carries, which decides what may be repeated. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'stream' | 'rollout';

/** A service that a route leads to, and its part of the requests. */
export interface RouteBackend {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A host and path prefix, and how its requests are served. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly backends: readonly RouteBackend[];
  /** The longest time that a request is kept waiting. */
  readonly timeoutMs: Millis;
  /** The time within which an answer is worth most. */
  readonly goalMs: Millis;
  /** The most targets on which one request may run. */
  readonly maxRuns: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another target. */
  readonly isResumable: boolean;
  /** Whether one sample must not mix weight versions. */
  readonly isSingleVersion: boolean;
  /** When all results of a submission are due after it was first submitted; 0 when not given. */
  readonly resultsDueMs: Millis;
  /** When an item may be given up after its submission; 0 when not given. */
  readonly retentionMs: Millis;
}

/** A service. */
export interface ServingService {
  readonly name: ServiceId;
  /** The models of a service of model engines; empty for a plain service. */
  readonly models: readonly ModelId[];
}

/** A team and the keys that its callers show. */
export interface ServingTeam {
  readonly name: TeamId;
  readonly keys: readonly string[];
  /** Goes before the route's priority; undefined when the team has none. */
  readonly priority: number | undefined;
}

/** What callers may send, and how long they may take or stay idle. */
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
  /** Undefined where no request needs a key. */
  readonly teams: readonly ServingTeam[] | undefined;
}
