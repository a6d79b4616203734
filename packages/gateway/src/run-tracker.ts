/** The runs at each engine, and what placement and weight changes need to know of them. */
import type {
  ServiceId,
  SoftwareVersion,
  TargetId,
  WeightVersion,
  ZoneId,
} from '@hibiscushill/base';
import {
  type AllowedRegions,
  type RunNeeds,
  type SlotGroup,
  assignSlots,
  canMoveTo,
} from '@hibiscushill/routing';

import type { ConfigTracker } from './config-tracker';
import type { TargetRegistration } from './target-directory';
import type { EngineTracker } from './engine-tracker';
import type { ItemRun } from './item-run';
import { ItemServices } from './item-services';
import type { ItemTask } from './item-task';
import { type EngineView, countFreeSlots, mayGoOnAt } from './engine-view';
import { findFastest, isSlow } from './placement';
import type { ModelId } from './serving-config';
import type { TargetLimiter } from './target-limiter';

/** A model's runs at an engine, as far as a change of its weights depends on them. */
export interface EngineRunSummary {
  readonly running: number;
  /** Whether other engines of the same software have free slots for all of these runs. */
  readonly canMoveRuns: boolean;
  /** Whether the engine is slow now or is left out after failures. */
  readonly isDegraded: boolean;
}

/** Tracks which runs are in progress at which engine. */
export class RunTracker {
  /** The services at which items should run. */
  readonly services: ItemServices;

  readonly #engineTracker: EngineTracker;

  readonly #config: ConfigTracker;

  readonly #limiter: TargetLimiter;

  readonly #runs = new Map<TargetId, Set<ItemRun>>();

  readonly #runsByTask = new Map<ItemTask, Set<ItemRun>>();

  /**
   * @param engineTracker - what was observed of the engines
   * @param config - the routes from items to services
   * @param limiter - how many requests may be sent to engines that limit them
   */
  constructor(engineTracker: EngineTracker, config: ConfigTracker, limiter: TargetLimiter) {
    this.#engineTracker = engineTracker;
    this.#config = config;
    this.services = new ItemServices(config, engineTracker);
    this.#limiter = limiter;
  }

  /** All runs in progress. */
  get runs(): ItemRun[] {
    return [...this.#runs.values()].flatMap((set) => [...set]);
  }

  add(run: ItemRun): void {
    addTo(this.#runs, run.engine.id, run);
    addTo(this.#runsByTask, run.task, run);
  }

  remove(run: ItemRun): void {
    removeFrom(this.#runs, run.engine.id, run);
    removeFrom(this.#runsByTask, run.task, run);
  }

  /** Lists the runs of an item. */
  listRunsOf(task: ItemTask): ItemRun[] {
    return [...(this.#runsByTask.get(task) ?? [])];
  }

  /** Lists a model's runs at an engine. */
  listRuns(engine: TargetId, model: ModelId): ItemRun[] {
    return [...(this.#runs.get(engine) ?? [])].filter((run) => run.model === model);
  }

  /** Finds the regions in which an item may run. */
  findRegions(task: ItemTask): AllowedRegions {
    return this.services.findRegions(task);
  }

  /**
   * Lists the engines that may run an item; those that failed recently only if all did.
   *
   * @param service - one of the services of the item's route
   */
  listEngines(task: ItemTask, service = this.services.find(task)): TargetRegistration[] {
    if (service === undefined) return [];
    const all = this.services.listEngines(service, this.findRegions(task));
    const healthy = all.filter((engine) => !this.#engineTracker.isBackedOff(engine));
    return healthy.length > 0 ? healthy : all;
  }

  /** Whether an engine of a service can start a run of an item's model now. */
  hasFreeSlot(task: ItemTask, service: ServiceId): boolean {
    return this.listEngines(task, service).some(
      (engine) => countUsableSlots(this.describeEngine(engine, task.model)) > 0,
    );
  }

  /**
   * Whether any engine of a service has the versions with which an item's output may go on. A
   * weight version that engines have left doesn't come back.
   */
  hasEngineForOutput(task: ItemTask, service: ServiceId): boolean {
    const { requiredVersion, model } = task;
    return this.services.listEngines(service, this.findRegions(task)).some((engine) => {
      if (!mayGoOnAt(task, engine.software)) return false;
      if (requiredVersion === undefined) return true;
      if (this.#engineTracker.isLoading(engine, model)) return false;
      return this.#engineTracker.versionOf(engine, model) === requiredVersion;
    });
  }

  /** Creates the view of an engine that the placement of a model's items uses. */
  describeEngine(engine: TargetRegistration, model: ModelId): EngineView {
    const running = this.#runs.get(engine.id)?.size ?? 0;
    const msPerEvent = this.#engineTracker.expectedMsPerEventOf(engine);
    return {
      id: engine.id,
      running,
      slots: engine.slots,
      startsLeft: Math.min(
        this.#limiter.countAvailable(engine),
        this.#engineTracker.countRampRoom(engine, running),
      ),
      version: this.#engineTracker.versionOf(engine, model),
      software: engine.software,
      isLoading: this.#engineTracker.isLoading(engine, model),
      msPerEvent,
      isSpeedFresh: this.#engineTracker.isSpeedFresh(engine),
      slowdownChange: msPerEvent && this.#engineTracker.slowdownChangeOf(engine),
    };
  }

  /** Summarizes a model's runs at each usable engine of a service. */
  summarizeRuns(service: ServiceId, model: ModelId): Map<TargetId, EngineRunSummary> {
    const engines = this.#engineTracker.listUsable(service);
    const views = engines.map((engine) => this.describeEngine(engine, model));
    const healthy = views.filter((_, index) => !this.#engineTracker.isBackedOff(engines[index]!));
    const fastest = findFastest(healthy);
    const zones = new Map(engines.map(({ id, zone }) => [id, zone]));
    const freeSlots = new FreeSlots(healthy, this.#config.hasAllowedRegions ? zones : undefined);
    return new Map(
      views.map((view, index) => {
        const runs = this.listRuns(view.id, model);
        const isBackedOff = this.#engineTracker.isBackedOff(engines[index]!);
        return [
          view.id,
          {
            running: runs.length,
            canMoveRuns: this.#canMoveAll(runs, [], freeSlots),
            isDegraded: isBackedOff || (view.isSpeedFresh && isSlow(view, fastest)),
          },
        ];
      }),
    );
  }

  /**
   * Whether all of a model's runs at an engine can go on elsewhere now, beside items that wait with
   * output for the same slots.
   */
  canMoveRuns(engine: TargetRegistration, model: ModelId, waiting: readonly ItemTask[]): boolean {
    const engines = this.#engineTracker
      .listUsable(engine.service)
      .filter((one) => !this.#engineTracker.isBackedOff(one));
    const views = engines.map((one) => this.describeEngine(one, model));
    const zones = new Map(engines.map(({ id, zone }) => [id, zone]));
    const freeSlots = new FreeSlots(views, this.#config.hasAllowedRegions ? zones : undefined);
    const runs = this.listRuns(engine.id, model);
    return this.#canMoveAll(runs, waiting, freeSlots);
  }

  /** @param runs - the runs of one engine */
  #canMoveAll(
    runs: readonly ItemRun[],
    waiting: readonly ItemTask[],
    freeSlots: FreeSlots,
  ): boolean {
    const [first] = runs;
    if (!first) return true;
    // Only engines that suit the strictest run count.
    const leastVersion = Math.max(1, ...runs.map(({ task }) => task.leastVersion)) as WeightVersion;
    const leaving = runs.map((run) => ({
      run,
      needs: { ...this.#findNeeds(run.task, run.engine.software), leastVersion },
    }));
    const { id } = first.engine;
    // Most engines are asked for in each round, and their runs need the same.
    if (waiting.length === 0 && leaving.every(({ needs }) => isSame(needs, leaving[0]!.needs))) {
      return runs.length <= freeSlots.countElsewhere(id, leaving[0]!.needs);
    }
    const waitingItems = waiting.map((task) => ({
      run: undefined,
      needs: this.#findNeeds(task, task.begun?.software),
    }));
    const placed = assignSlots<ItemRun | undefined>(
      [...waitingItems, ...leaving],
      freeSlots.listElsewhere(id),
    );
    return placed.filter(({ run }) => run !== undefined).length === runs.length;
  }

  /** @param software - the software of the engines that began the item's output */
  #findNeeds(task: ItemTask, software: SoftwareVersion | undefined): RunNeeds {
    return {
      software,
      leastVersion: task.leastVersion,
      requiredVersion: task.requiredVersion,
      regions: this.#config.hasAllowedRegions ? this.findRegions(task) : undefined,
    };
  }

  /** Lists runs on slow engines for which fast engines of their software have free slots. */
  listMovableRuns(): ItemRun[] {
    const { runs } = this;
    const groups = new Map<string, ItemRun[]>();
    runs.forEach((run) => {
      const key = `${run.engine.service} ${run.model} ${this.findRegions(run.task).key}`;
      const group = groups.get(key) ?? [];
      groups.set(key, group);
      group.push(run);
    });
    return [...groups.values()].flatMap((group) => this.#listMovableRunsOfGroup(group));
  }

  /** @param runs - runs of one model at engines of one service, which may run in the same regions */
  #listMovableRunsOfGroup(runs: readonly ItemRun[]): ItemRun[] {
    const [first] = runs;
    if (!first) return [];
    const engines = this.listEngines(first.task, first.engine.service);
    const views = engines.map((engine) => this.describeEngine(engine, first.model));
    const fastest = findFastest(views);
    const slowIds = new Set(
      views.filter((view) => isSlow(view, fastest) && view.isSpeedFresh).map(({ id }) => id),
    );
    if (slowIds.size === 0) return [];
    const freeSlots = new FreeSlots(views.filter(({ id }) => !slowIds.has(id)));
    const leaving = runs
      .filter(({ engine }) => slowIds.has(engine.id))
      .map((run) => ({
        run,
        // The engines are those of the run's regions.
        needs: { ...this.#findNeeds(run.task, run.engine.software), regions: undefined },
      }));
    return assignSlots(leaving, freeSlots.list()).map(({ run }) => run);
  }
}

/** The free slots of all engines, counted once by what decides which runs may move to them. */
class FreeSlots {
  readonly #groups = new Map<string, SlotGroup>();

  readonly #views = new Map<TargetId, EngineView>();

  readonly #countsByNeeds = new Map<string, number>();

  readonly #zones: ReadonlyMap<TargetId, ZoneId> | undefined;

  /**
   * @param views - the engines
   * @param zones - the zones of the engines; undefined if no run depends on them
   */
  constructor(views: readonly EngineView[], zones?: ReadonlyMap<TargetId, ZoneId>) {
    this.#zones = zones;
    views.forEach((view) => {
      this.#views.set(view.id, view);
      const key = this.#createKey(view);
      const slots = (this.#groups.get(key)?.slots ?? 0) + countUsableSlots(view);
      this.#groups.set(key, this.#createGroup(view, slots));
    });
  }

  /** Lists the free slots of all engines. */
  list(): SlotGroup[] {
    return [...this.#groups.values()];
  }

  /** Counts the free slots of all engines but one at which a run can go on. */
  countElsewhere(engine: TargetId, needs: RunNeeds): number {
    const key = `${needs.software ?? ''} ${needs.leastVersion} ${needs.requiredVersion ?? ''} ${needs.regions?.key ?? ''}`;
    const known = this.#countsByNeeds.get(key) ?? this.#count(needs);
    this.#countsByNeeds.set(key, known);
    const own = this.#views.get(engine);
    const isOwnCounted = own !== undefined && canMoveTo(needs, this.#createGroup(own, 0));
    return known - (isOwnCounted ? countUsableSlots(own) : 0);
  }

  /** Lists the free slots of all engines but one. */
  listElsewhere(engine: TargetId): SlotGroup[] {
    const own = this.#views.get(engine);
    if (!own) return this.list();
    const ownKey = this.#createKey(own);
    return [...this.#groups].map(([key, group]) =>
      key === ownKey ? { ...group, slots: group.slots - countUsableSlots(own) } : group,
    );
  }

  #count(needs: RunNeeds): number {
    return this.list()
      .filter((group) => canMoveTo(needs, group))
      .reduce((sum, { slots }) => sum + slots, 0);
  }

  #createGroup(view: EngineView, slots: number): SlotGroup {
    return { software: view.software, version: view.version, zone: this.#findZone(view), slots };
  }

  #createKey(view: EngineView): string {
    return `${view.version} ${view.software ?? ''} ${this.#findZone(view)}`;
  }

  #findZone({ id }: EngineView): ZoneId {
    return this.#zones?.get(id) ?? ('' as ZoneId);
  }
}

/** Whether runs that leave one engine need the same; their software and least version are equal. */
function isSame(a: RunNeeds, b: RunNeeds): boolean {
  return a.requiredVersion === b.requiredVersion && a.regions === b.regions;
}

/** Counts the runs that may start at an engine; none may while its weights are being changed. */
function countUsableSlots(view: EngineView): number {
  return view.isLoading ? 0 : countFreeSlots(view);
}

function addTo<K>(runs: Map<K, Set<ItemRun>>, key: K, run: ItemRun): void {
  const set = runs.get(key) ?? new Set<ItemRun>();
  runs.set(key, set.add(run));
}

function removeFrom<K>(runs: Map<K, Set<ItemRun>>, key: K, run: ItemRun): void {
  const set = runs.get(key);
  set?.delete(run);
  if (set?.size === 0) runs.delete(key);
}
