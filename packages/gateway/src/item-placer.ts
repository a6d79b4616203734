/** Places waiting items at engines of the services that their routes name. */
import type { Clock, Millis, ServiceId } from '@hibiscushill/base';

import type { ItemOrder } from './item-order';
import type { ItemTask } from './item-task';
import type { PlacementPolicy } from './placement';
import type { RunTracker } from './run-tracker';
import type { TargetRegistration } from './target-directory';

// An item of a split route that has waited for longer runs at another of its services, so that no
// engine is idle while it waits. Shorter waits let the weights of the route decide.
const MAX_SERVICE_WAIT_MS = 1_000;

/** An item, and the engine at which it is to start. */
export interface ItemStart {
  readonly task: ItemTask;
  readonly engine: TargetRegistration;
  /** Whether the item's output is discarded, since it can't go on at this engine. */
  readonly beginsAgain: boolean;
}

/** The policies, and where items may run. */
export interface ItemPlacerOptions {
  readonly clock: Clock;
  readonly runTracker: RunTracker;
  readonly placement: PlacementPolicy;
  readonly order: ItemOrder;
  /** Starts an item; the item goes on waiting if the engine can't take it. */
  readonly start: (start: ItemStart) => void;
  /** Whether an item still waits. */
  readonly isWaiting: (task: ItemTask) => boolean;
}

/** Places items by their order and, of those that may run at the same engines, by a policy. */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;

  /** @param options - the policies, and where items may run */
  constructor(options: ItemPlacerOptions) {
    this.#options = options;
  }

  /** @param tasks - the waiting items, all of which have a route */
  place(tasks: readonly ItemTask[]): void {
    const { order, runTracker, isWaiting } = this.#options;
    const parts = order.sortInParts(tasks);
    parts.forEach((part) => this.#placeAt(part, (task) => runTracker.services.find(task)));
    this.#placeOverdue(parts.flat().filter((task) => isWaiting(task) && this.#isOverdue(task)));
  }

  /** Places items at other services than their own, until none of these has room for any of them. */
  #placeOverdue(tasks: readonly ItemTask[]): void {
    let waiting = tasks;
    let placed = tasks.length;
    while (placed > 0 && waiting.length > 0) {
      this.#placeAt(waiting, this.#createFinderOfOthers());
      const left = waiting.filter((task) => this.#options.isWaiting(task));
      placed = waiting.length - left.length;
      waiting = left;
    }
  }

  #isOverdue(task: ItemTask): boolean {
    return task.countWaitMs(this.#options.clock.mono()) > MAX_SERVICE_WAIT_MS;
  }

  /** Places items, each at a service; those of one service, model and regions together. */
  #placeAt(
    tasks: readonly ItemTask[],
    findService: (task: ItemTask) => ServiceId | undefined,
  ): void {
    const groups = new Map<string, { service: ServiceId; tasks: ItemTask[] }>();
    tasks.forEach((task) => {
      const service = findService(task);
      if (service === undefined) return;
      const key = JSON.stringify([service, task.model, this.#findRegionsKey(task)]);
      const group = groups.get(key) ?? { service, tasks: [] };
      groups.set(key, group);
      group.tasks.push(task);
    });
    groups.forEach((group) => this.#placeGroup(group.service, group.tasks));
  }

  #placeGroup(service: ServiceId, tasks: readonly ItemTask[]): void {
    const [first] = tasks;
    if (!first) return;
    const { placement, runTracker, start } = this.#options;
    const engines = runTracker.listEngines(first, service);
    const views = engines.map((engine) => runTracker.describeEngine(engine, first.model));
    const enginesById = new Map(engines.map((engine) => [engine.id, engine]));
    placement
      .place(tasks, views, (task) => this.#countWaitMs(task, service))
      .forEach(({ item, engine: id, beginsAgain }) => {
        const engine = enginesById.get(id);
        if (engine) start({ task: item, engine, beginsAgain });
      });
  }

  /** How long an item has waited for an engine; infinite if none has its output's versions. */
  #countWaitMs(task: ItemTask, service: ServiceId): Millis {
    const { clock, runTracker } = this.#options;
    const isServed = runTracker.hasEngineForOutput(task, service);
    return isServed ? task.countWaitMs(clock.mono()) : Infinity;
  }

  #createFinderOfOthers(): (task: ItemTask) => ServiceId | undefined {
    const { runTracker } = this.#options;
    const known = new Map<string, boolean>();
    return (task) =>
      runTracker.services.findOther(task, (service) => {
        const key = JSON.stringify([service, task.model, this.#findRegionsKey(task)]);
        const hasRoom = known.get(key) ?? runTracker.hasFreeSlot(task, service);
        known.set(key, hasRoom);
        return hasRoom;
      });
  }

  #findRegionsKey(task: ItemTask): string {
    return this.#options.runTracker.findRegions(task).key;
  }
}
