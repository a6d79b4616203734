/** The runs at each engine, and what placement and weight changes need to know of them. */
import type { TargetId } from '@hibiscushill/base';

import type { ConfigTracker } from './config-tracker';
import type { TargetRegistration } from './target-directory';
import type { EngineTracker } from './engine-tracker';
import type { ItemRun } from './item-run';
import type { ItemTask } from './item-task';
import { type EngineView, findFastest, isSlow } from './placement';
import type { ModelId, ServingRoute } from './serving-config';

/** A model's runs at an engine, as far as a change of its weights depends on them. */
export interface EngineRunSummary {
  readonly running: number;
  /** Whether other engines have free slots for all of these runs. */
  readonly canMoveRuns: boolean;
  /** Whether the engine is slow now or is left out after failures. */
  readonly isDegraded: boolean;
}

/** Tracks which runs are in progress at which engine. */
export class RunTracker {
  readonly #engineTracker: EngineTracker;

  readonly #config: ConfigTracker;

  readonly #runs = new Map<TargetId, Set<ItemRun>>();

  /**
   * @param engineTracker - what was observed of the engines
   * @param config - the routes from items to services
   */
  constructor(engineTracker: EngineTracker, config: ConfigTracker) {
    this.#engineTracker = engineTracker;
    this.#config = config;
  }

  /** All runs in progress. */
  get runs(): ItemRun[] {
    return [...this.#runs.values()].flatMap((set) => [...set]);
  }

  add(run: ItemRun): void {
    const runs = this.#runs.get(run.engine.id) ?? new Set<ItemRun>();
    this.#runs.set(run.engine.id, runs);
    runs.add(run);
  }

  remove(run: ItemRun): void {
    this.#runs.get(run.engine.id)?.delete(run);
  }

  /** Lists a model's runs at an engine. */
  listRuns(engine: TargetId, model: ModelId): ItemRun[] {
    return [...(this.#runs.get(engine) ?? [])].filter((run) => run.model === model);
  }

  /** Finds the route of an item's requests in the current configuration. */
  findRoute(task: ItemTask): ServingRoute | undefined {
    return this.#config.current?.findRoute(task.submission.terms.host, task.spec.path);
  }

  /** Lists the engines that may run an item; those that failed recently only if all did. */
  listEngines(task: ItemTask): TargetRegistration[] {
    const service = this.findRoute(task)?.backends[0]?.service;
    if (!service) return [];
    const all = this.#engineTracker.listUsable(service);
    const healthy = all.filter((engine) => !this.#engineTracker.isBackedOff(engine));
    return healthy.length > 0 ? healthy : all;
  }

  /** Creates the view of an engine that the placement of a model's items uses. */
  describeEngine(engine: TargetRegistration, model: ModelId): EngineView {
    return {
      id: engine.id,
      running: this.#runs.get(engine.id)?.size ?? 0,
      slots: engine.slots,
      version: this.#engineTracker.versionOf(engine, model),
      isLoading: this.#engineTracker.isLoading(engine, model),
      msPerEvent: this.#engineTracker.msPerEventOf(engine),
      isSpeedFresh: this.#engineTracker.isSpeedFresh(engine),
    };
  }

  /** Summarizes a model's runs at an engine. */
  summarizeRuns(engine: TargetRegistration, model: ModelId): EngineRunSummary {
    const runs = this.listRuns(engine.id, model);
    const leastVersion = Math.max(1, ...runs.map((run) => run.task.leastVersion));
    const healthy = this.#engineTracker
      .listUsable(engine.service)
      .filter((other) => !this.#engineTracker.isBackedOff(other));
    const views = healthy.map((other) => this.describeEngine(other, model));
    const own = this.describeEngine(engine, model);
    const isSlowNow = own.isSpeedFresh && isSlow(own, findFastest(views));
    const freeSlots = countFreeSlots(
      views.filter((view) => view.id !== engine.id && view.version >= leastVersion),
    );
    const isDegraded = isSlowNow || this.#engineTracker.isBackedOff(engine);
    return { running: runs.length, canMoveRuns: runs.length <= freeSlots, isDegraded };
  }

  /** Lists runs on slow engines for which fast engines have free slots. */
  listMovableRuns(): ItemRun[] {
    const { runs } = this;
    const models = [...new Set(runs.map((run) => run.model))];
    return models.flatMap((model) =>
      this.#listMovableRunsOfModel(runs.filter((run) => run.model === model)),
    );
  }

  #listMovableRunsOfModel(runs: readonly ItemRun[]): ItemRun[] {
    const [first] = runs;
    if (!first) return [];
    const views = this.listEngines(first.task).map((engine) =>
      this.describeEngine(engine, first.model),
    );
    const fastest = findFastest(views);
    const slow = views.filter((view) => isSlow(view, fastest) && view.isSpeedFresh);
    const slowIds = new Set(slow.map((view) => view.id));
    const freeSlots = countFreeSlots(views.filter((view) => !slowIds.has(view.id)));
    return runs.filter((run) => slowIds.has(run.engine.id)).slice(0, freeSlots);
  }
}

/** Counts the free slots of engines that accept new runs. */
function countFreeSlots(views: readonly EngineView[]): number {
  return views
    .filter((view) => !view.isLoading)
    .reduce((sum, view) => sum + Math.max(0, view.slots - view.running), 0);
}
