/** The services at which items run, by the weights of their routes and by which services can. */
import type { ServiceId } from '@hibiscushill/base';
import { AllowedRegions, chooseServiceForKey, listServing } from '@hibiscushill/routing';

import type { ConfigTracker } from './config-tracker';
import type { EngineTracker } from './engine-tracker';
import type { ItemTask } from './item-task';
import type { ServingRoute } from './serving-config';
import type { TargetRegistration } from './target-directory';

/** Finds the route and the regions of items, and the service at which each should run. */
export class ItemServices {
  readonly #config: ConfigTracker;

  readonly #engineTracker: EngineTracker;

  /** Whether a service has engines that aren't left out, by service and regions. */
  readonly #canServe = new Map<string, boolean>();

  /**
   * @param config - the routes from items to services
   * @param engineTracker - the engines of the services
   */
  constructor(config: ConfigTracker, engineTracker: EngineTracker) {
    this.#config = config;
    this.#engineTracker = engineTracker;
  }

  /** Looks again at which services can run items; called before each placement. */
  refresh(): void {
    this.#canServe.clear();
  }

  /** Finds the route of an item's requests in the current configuration. */
  findRoute(task: ItemTask): ServingRoute | undefined {
    return this.#config.current?.findRoute(task.submission.terms.host, task.spec.path);
  }

  /** Finds the regions in which an item may run. */
  findRegions(task: ItemTask): AllowedRegions {
    const route = this.#config.hasAllowedRegions ? this.findRoute(task) : undefined;
    if (!route) return AllowedRegions.ANYWHERE;
    return this.#config.findRegions(route, task.submission.terms.team);
  }

  /**
   * Finds the service whose engines should run an item. Items that share a prompt have the same one;
   * an item with output goes on where it has run. A service that can't run items now is passed over.
   */
  find(task: ItemTask): ServiceId | undefined {
    const route = this.findRoute(task);
    if (!route || route.backends.length <= 1) return route?.backends[0]?.service;
    const serving = this.#listServing(task, route);
    const hasRunAt = serving.find(({ service }) => service === task.service);
    if (hasRunAt && task.hasOutput) return hasRunAt.service;
    return chooseServiceForKey(serving, task.group);
  }

  /**
   * Finds another service of an item's route, at which it runs rather than waiting for its own.
   *
   * @param hasRoom - tells whether a service has free slots for the item
   */
  findOther(task: ItemTask, hasRoom: (service: ServiceId) => boolean): ServiceId | undefined {
    const route = this.findRoute(task);
    if (!route || route.backends.length <= 1) return undefined;
    const own = this.find(task);
    const others = this.#listServing(task, route).filter(
      ({ service }) => service !== own && hasRoom(service),
    );
    return chooseServiceForKey(others, task.group);
  }

  /** Lists a service's engines that may get runs in some regions. */
  listEngines(service: ServiceId, regions: AllowedRegions): TargetRegistration[] {
    return this.#engineTracker.listUsable(service).filter(({ zone }) => regions.allows(zone));
  }

  #listServing(task: ItemTask, route: ServingRoute): ServingRoute['backends'] {
    const regions = this.findRegions(task);
    return listServing(route.backends, (service) => {
      const key = `${service} ${regions.key}`;
      const known = this.#canServe.get(key);
      if (known !== undefined) return known;
      const engines = this.listEngines(service, regions);
      const canServe = engines.some((engine) => !this.#engineTracker.isBackedOff(engine));
      this.#canServe.set(key, canServe);
      return canServe;
    });
  }
}
