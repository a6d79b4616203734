/** The decision whether the configuration has a route by which an item may run. */
import type { ConfigTracker } from './config-tracker';
import type { ItemTask } from './item-task';
import type { ServingRoute } from './serving-config';

/** The route of an item, or why it has none: it may be unread, or it was withdrawn. */
export type ItemRoute =
  | { readonly type: 'found'; readonly route: ServingRoute }
  | { readonly type: 'unread' | 'withdrawn' };

/**
 * Finds the routes of items. Submissions and configurations are read from different streams, so
 * that the configuration may be older than the one by which another process accepted an item, or
 * not be read at all. Neither a missing route nor a present one says anything about the item then.
 */
export class ItemRoutes {
  readonly #config: ConfigTracker;

  /** @param config - the configuration that was read last */
  constructor(config: ConfigTracker) {
    this.#config = config;
  }

  find(task: ItemTask): ItemRoute {
    const { host } = task.submission.terms;
    const route = this.#config.current?.findRoute(host, task.spec.path);
    if (!this.#isNewEnough(task, route)) return { type: 'unread' };
    return route ? { type: 'found', route } : { type: 'withdrawn' };
  }

  #isNewEnough({ submission, knownSince }: ItemTask, route: ServingRoute | undefined): boolean {
    const { configVersion } = submission.terms;
    if (configVersion !== undefined) return (this.#config.current?.version ?? 0) >= configVersion;
    // Records of earlier builds don't name the configuration.
    return route !== undefined || this.#config.isConfirmedSince(knownSince);
  }
}
