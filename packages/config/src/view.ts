/** A configuration in force, indexed for look-ups on the request path. */
import type { ConfigVersion, KeyId, ServiceId, TeamId, TrainerId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

import type { Declarations, Key, Route, Service, Team, Trainer } from './declarations';

/** One configuration, which never changes. */
export class ConfigView {
  readonly version: ConfigVersion;

  readonly declarations: Declarations;

  readonly #teams: ReadonlyMap<TeamId, Team>;

  readonly #keys: ReadonlyMap<KeyId, Key>;

  readonly #services: ReadonlyMap<ServiceId, Service>;

  readonly #trainers: ReadonlyMap<TrainerId, Trainer>;

  /**
   * @param version - the offset of the change that made it
   * @param declarations - what is declared
   */
  constructor(version: ConfigVersion, declarations: Declarations) {
    this.version = version;
    this.declarations = declarations;
    this.#teams = new Map(declarations.teams.map((team) => [team.name, team]));
    this.#keys = new Map(declarations.keys.map((key) => [key.id, key]));
    this.#services = new Map(declarations.services.map((service) => [service.name, service]));
    this.#trainers = new Map(declarations.trainers.map((trainer) => [trainer.name, trainer]));
  }

  /** Looks a team up. */
  findTeam(id: TeamId): Option<Team> {
    return fromNullable(this.#teams.get(id));
  }

  /** Looks a key up. */
  findKey(id: KeyId): Option<Key> {
    return fromNullable(this.#keys.get(id));
  }

  /** Looks a service up. */
  findService(id: ServiceId): Option<Service> {
    return fromNullable(this.#services.get(id));
  }

  /** Looks a trainer up. */
  findTrainer(id: TrainerId): Option<Trainer> {
    return fromNullable(this.#trainers.get(id));
  }

  /**
   * Finds the first route of a service that matches.
   *
   * @param service - the service
   * @param method - the request's method
   * @param path - the path below `/s/{service}`, from its slash on, without the query
   * @returns the route
   */
  findRoute(service: Service, method: string, path: string): Option<Route> {
    return fromNullable(service.routes.find((route) => isMatch(route, method, path)));
  }
}

function isMatch(route: Route, method: string, path: string): boolean {
  if (route.method !== '*' && route.method !== method) return false;
  if (route.path.endsWith('*')) return path.startsWith(route.path.slice(0, -1));
  return path === route.path;
}
