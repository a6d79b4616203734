/** The streams at each engine, and what follows for placing and moving them. */
import type { TargetId } from '@hibiscushill/base';

import type { ConfigBook } from './config-tracker';
import type { TargetEntry } from './target-directory';
import type { Engines } from './engine-tracker';
import type { ItemRun } from './item-run';
import type { ItemTask } from './item-task';
import { type EngineView, findFastest, isSlow } from './placement';
import type { ModelId, ServingRoute } from './serving-config';

/** The work at an engine, for those who decide about its weights. */
export interface EngineWork {
  readonly runningOfModel: number;
  /** Whether other engines have room for these streams. */
  readonly canMove: boolean;
  /** Whether the engine is slow at present or failed lately. */
  readonly isPoor: boolean;
}

/** Knows which streams run where. */
export class EngineBoard {
  readonly #engines: Engines;

  readonly #config: ConfigBook;

  readonly #runs = new Map<TargetId, Set<ItemRun>>();

  /**
   * @param engines - what is known of the engines
   * @param config - leads from items to services
   */
  constructor(engines: Engines, config: ConfigBook) {
    this.#engines = engines;
    this.#config = config;
  }

  /** All streams that run. */
  get runs(): ItemRun[] {
    return [...this.#runs.values()].flatMap((set) => [...set]);
  }

  /** Adds a stream that has started. */
  add(run: ItemRun): void {
    const runs = this.#runs.get(run.engine.id) ?? new Set<ItemRun>();
    this.#runs.set(run.engine.id, runs);
    runs.add(run);
  }

  /** Removes a stream that has ended. */
  remove(run: ItemRun): void {
    this.#runs.get(run.engine.id)?.delete(run);
  }

  /** Lists a model's streams at an engine. */
  runsOf(engine: TargetId, model: ModelId): ItemRun[] {
    return [...(this.#runs.get(engine) ?? [])].filter((run) => run.model === model);
  }

  /** Finds the route under which an item runs now. */
  findRoute(task: ItemTask): ServingRoute | undefined {
    return this.#config.view?.findRoute(task.submission.terms.host, task.spec.path);
  }

  /** Lists the engines that may run an item, without those that failed lately if others are left. */
  listEngines(task: ItemTask): TargetEntry[] {
    const service = this.findRoute(task)?.backends[0]?.service;
    if (!service) return [];
    const all = this.#engines.list(service);
    const sound = all.filter((engine) => !this.#engines.isAvoided(engine));
    return sound.length > 0 ? sound : all;
  }

  /** Describes an engine for the placing of a model's items. */
  view(engine: TargetEntry, model: ModelId): EngineView {
    return {
      id: engine.id,
      running: this.#runs.get(engine.id)?.size ?? 0,
      slots: engine.slots,
      version: this.#engines.versionOf(engine, model),
      isLoading: this.#engines.isLoading(engine, model),
      msPerEvent: this.#engines.msPerEvent(engine),
      isSpeedFresh: this.#engines.isSpeedFresh(engine),
    };
  }

  /** Describes a model's streams at an engine. */
  workAt(engine: TargetEntry, model: ModelId): EngineWork {
    const runs = this.runsOf(engine.id, model);
    const least = Math.max(1, ...runs.map((run) => run.task.leastVersion));
    const sound = this.#engines
      .list(engine.service)
      .filter((other) => !this.#engines.isAvoided(other));
    const views = sound.map((other) => this.view(other, model));
    const own = this.view(engine, model);
    const isSlowNow = own.isSpeedFresh && isSlow(own, findFastest(views));
    const room = countRoom(views.filter((view) => view.id !== engine.id && view.version >= least));
    const isPoor = isSlowNow || this.#engines.isAvoided(engine);
    return { runningOfModel: runs.length, canMove: runs.length <= room, isPoor };
  }

  /** Picks streams on slow engines for which fast ones have room. */
  pickMisplaced(): ItemRun[] {
    const { runs } = this;
    const models = [...new Set(runs.map((run) => run.model))];
    return models.flatMap((model) => this.#pickOfModel(runs.filter((run) => run.model === model)));
  }

  #pickOfModel(runs: readonly ItemRun[]): ItemRun[] {
    const [first] = runs;
    if (!first) return [];
    const views = this.listEngines(first.task).map((engine) => this.view(engine, first.model));
    const fastest = findFastest(views);
    const slow = views.filter((view) => isSlow(view, fastest) && view.isSpeedFresh);
    const slowIds = new Set(slow.map((view) => view.id));
    const room = countRoom(views.filter((view) => !slowIds.has(view.id)));
    return runs.filter((run) => slowIds.has(run.engine.id)).slice(0, room);
  }
}

/** Counts the free slots of engines that take new streams. */
function countRoom(views: readonly EngineView[]): number {
  return views
    .filter((view) => !view.isLoading)
    .reduce((sum, view) => sum + Math.max(0, view.slots - view.running), 0);
}
