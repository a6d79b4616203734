/** An indexed view of a configuration, for lookups on the request path. */
import type { ConfigVersion, KeyId, ServiceId, TeamId, TrainerId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import type { Declarations, Key, Route, Service, Team, Trainer } from './declarations';

/** An immutable version of the configuration. */
export class ConfigView {
  readonly version: ConfigVersion;

  readonly declarations: Declarations;

  readonly #teams: ReadonlyMap<TeamId, Team>;

  readonly #keys: ReadonlyMap<KeyId, Key>;

  readonly #services: ReadonlyMap<ServiceId, Service>;

  readonly #trainers: ReadonlyMap<TrainerId, Trainer>;

  /**
   * @param version - the version: the offset of the change that created it
   * @param declarations - the declarations of this version
   */
  constructor(version: ConfigVersion, declarations: Declarations) {
    this.version = version;
    this.declarations = declarations;
    this.#teams = new Map(declarations.teams.map((team) => [team.name, team]));
    this.#keys = new Map(declarations.keys.map((key) => [key.id, key]));
    this.#services = new Map(declarations.services.map((service) => [service.name, service]));
    this.#trainers = new Map(declarations.trainers.map((trainer) => [trainer.name, trainer]));
  }

  /** Finds a team by its name. */
  findTeam(id: TeamId): Option<Team> {
    return fromNullable(this.#teams.get(id));
  }

  /** Finds a key by its id. */
  findKey(id: KeyId): Option<Key> {
    return fromNullable(this.#keys.get(id));
  }

  /** Finds a service by its name. */
  findService(id: ServiceId): Option<Service> {
    return fromNullable(this.#services.get(id));
  }

  /** Finds a trainer by its name. */
  findTrainer(id: TrainerId): Option<Trainer> {
    return fromNullable(this.#trainers.get(id));
  }

  /**
   * Finds the first route of a service that matches a request.
   *
   * @param service - the service
   * @param method - the request's method
   * @param path - the path after `/s/{service}`, with its leading slash and without the query
   * @returns the route; none when no route matches
   */
  findRoute(service: Service, method: string, path: string): Option<Route> {
    return fromNullable(service.routes.find((route) => matchesRoute(route, method, path)));
  }
}

function matchesRoute(route: Route, method: string, path: string): boolean {
  if (route.method !== '*' && route.method !== method) return false;
  if (route.path.endsWith('*')) return path.startsWith(route.path.slice(0, -1));
  return path === route.path;
}
