/** Lookups in one version of the configuration, in constant time regardless of its size. */
import type {
  CallerLimits,
  ServingConfig,
  ServingRoute,
  ServingService,
  ServingTeam,
  ServingVersion,
} from './serving-config';

/** An indexed configuration. */
export class ConfigView {
  readonly version: ServingVersion;

  readonly limits: CallerLimits;

  readonly services: readonly ServingService[];

  /** Whether requests need a key on routes that aren't public. */
  readonly needsKeys: boolean;

  readonly #routes = new Map<string, Map<string, ServingRoute>>();

  readonly #teamsByKey = new Map<string, ServingTeam>();

  /** @param config - the configuration to index */
  constructor(config: ServingConfig) {
    this.version = config.version;
    this.limits = config.limits;
    this.services = config.services;
    this.needsKeys = config.teams !== undefined;
    config.routes.forEach((route) => this.#addRoute(route));
    config.teams?.forEach((team) => team.keys.forEach((key) => this.#teamsByKey.set(key, team)));
  }

  /** All routes, in no particular order. */
  get routes(): ServingRoute[] {
    return [...this.#routes.values()].flatMap((byPrefix) => [...byPrefix.values()]);
  }

  /**
   * Finds the route with the longest prefix.
   *
   * @param host - the request's host, as sent
   * @param path - the request's path without its query
   * @returns the route; undefined if none matches
   */
  findRoute(host: string, path: string): ServingRoute | undefined {
    const byPrefix = this.#routes.get(host.toLowerCase()) ?? this.#routes.get(stripPort(host));
    if (!byPrefix) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  /** Finds the team that holds a key. */
  findTeam(key: string): ServingTeam | undefined {
    return this.#teamsByKey.get(key);
  }

  #addRoute(route: ServingRoute): void {
    const host = route.host.toLowerCase();
    const byPrefix = this.#routes.get(host) ?? new Map<string, ServingRoute>();
    byPrefix.set(route.pathPrefix, route);
    this.#routes.set(host, byPrefix);
  }
}

function stripPort(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
