/** Which waiting item starts at which engine. */
import type { Millis, TargetId, WeightVersion } from '@hibiscushill/base';

/** An engine, as far as the choice depends on it. */
export interface EngineView {
  readonly id: TargetId;
  readonly running: number;
  readonly slots: number;
  readonly version: WeightVersion;
  /** Whether new streams would be refused while weights are changed. */
  readonly isLoading: boolean;
  /** The usual time between two events of a stream; undefined when unknown. */
  readonly msPerEvent: Millis | undefined;
  /** Whether that was measured lately; an older figure may no longer hold. */
  readonly isSpeedFresh: boolean;
}

/** An item that waits for an engine. */
export interface WaitingItem {
  /** Items of a group share the beginning of their prompt. */
  readonly group: string;
  readonly leastVersion: WeightVersion;
  /** The one version that the item's text may have; undefined when it may mix. */
  readonly onlyVersion: WeightVersion | undefined;
  /** Engines that failed the item before. */
  readonly avoid: ReadonlySet<TargetId>;
}

/** An item and the engine that it starts at. */
export interface Placement<T extends WaitingItem> {
  readonly item: T;
  readonly engine: TargetId;
}

/** Decides which items start where. */
export abstract class PlacementPolicy {
  /**
   * Decides for the present moment.
   *
   * @param items - the waiting items, the most urgent first
   * @param engines - the engines of the items' model
   * @returns items to start now; the others go on waiting
   */
  abstract place<T extends WaitingItem>(
    items: readonly T[],
    engines: readonly EngineView[],
  ): Placement<T>[];
}

type OpenEngine = { -readonly [K in keyof EngineView]: EngineView[K] };

// An engine this many times slower than the fastest isn't used while others have room or will.
const SLOW_FACTOR = 1.7;
// An engine that was slow some time ago gets so many items to show how fast it is now.
const TRIAL_SLOTS = 1;
// With more waiting items than this for each slot of the fast engines, slow ones help as well.
const BACKLOG_PER_SLOT = 2;

/**
 * Answers bursts of groups that are larger than the free slots, on engines of unlike speed: items
 * wait here rather than at an engine, engines fill evenly, a group's items go to the engine that
 * has read their prompt while it has room, and slow engines help only with a long backlog.
 */
export class EvenPlacement extends PlacementPolicy {
  readonly #homes = new Map<string, TargetId>();

  override place<T extends WaitingItem>(
    items: readonly T[],
    engines: readonly EngineView[],
  ): Placement<T>[] {
    const fastest = findFastest(engines);
    const views = engines.map((engine) => withTrial({ ...engine }, fastest));
    const usable = listFast(items.length, views, fastest);
    const placements: Placement<T>[] = [];
    items.forEach((item) => {
      const engine = this.#choose(item, usable);
      if (!engine) return;
      engine.running += 1;
      this.#homes.set(item.group, engine.id);
      placements.push({ item, engine: engine.id });
    });
    return placements;
  }

  /** Forgets where a group's prompt lies. */
  forget(group: string): void {
    this.#homes.delete(group);
  }

  #choose(item: WaitingItem, engines: readonly OpenEngine[]): OpenEngine | undefined {
    const fits = engines.filter((engine) => isFit(item, engine));
    const willing = fits.filter((engine) => !item.avoid.has(engine.id));
    const candidates = willing.length > 0 ? willing : fits;
    const home = this.#homes.get(item.group);
    const near = candidates.find((engine) => engine.id === home);
    if (near) return near;
    return [...candidates].sort((a, b) => fill(a) - fill(b))[0];
  }
}

/**
 * Tells whether an engine is known to be slow at present.
 *
 * @param engine - the engine
 * @param fastest - the time between two events at the fastest engine
 */
export function isSlow({ msPerEvent }: EngineView, fastest: Millis): boolean {
  return msPerEvent !== undefined && msPerEvent > SLOW_FACTOR * fastest;
}

/** The time between two events at the engine that was fastest lately; infinite if none is known. */
export function findFastest(engines: readonly EngineView[]): Millis {
  const fresh = engines.filter((engine) => engine.isSpeedFresh);
  const known = fresh.length > 0 ? fresh : engines;
  return Math.min(...known.map((engine) => engine.msPerEvent ?? Infinity));
}

function withTrial(engine: EngineView, fastest: Millis): OpenEngine {
  const isTrial = isSlow(engine, fastest) && !engine.isSpeedFresh;
  const slots = isTrial ? Math.min(engine.slots, TRIAL_SLOTS) : engine.slots;
  const isKnown = engine.msPerEvent !== undefined && !isTrial;
  return { ...engine, slots, msPerEvent: isKnown ? engine.msPerEvent : fastest };
}

function listFast(waiting: number, engines: readonly OpenEngine[], fastest: Millis): OpenEngine[] {
  const fast = engines.filter((engine) => !isSlow(engine, fastest));
  const slots = fast.reduce((sum, engine) => sum + engine.slots, 0);
  return waiting > BACKLOG_PER_SLOT * slots ? [...engines] : fast;
}

function isFit(item: WaitingItem, engine: EngineView): boolean {
  if (engine.isLoading || engine.running >= engine.slots) return false;
  if (item.onlyVersion !== undefined) return engine.version === item.onlyVersion;
  return engine.version >= item.leastVersion;
}

function fill({ running, slots, msPerEvent = 1 }: EngineView): number {
  return ((running + 1) / slots) * (Number.isFinite(msPerEvent) ? msPerEvent : 1);
}
