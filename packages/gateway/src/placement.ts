/** The policy for which waiting item starts at which engine. */
import type { Millis, TargetId } from '@hibiscushill/base';

import { EngineIndex } from './engine-index';
import {
  type EngineView,
  type MutableEngineView,
  type WaitingItem,
  countFreeSlots,
} from './engine-view';

/** An item and the engine at which it should start. */
export interface Placement<T extends WaitingItem> {
  readonly item: T;
  readonly engine: TargetId;
  /** Whether the item's output is discarded, since it can't go on at this engine. */
  readonly beginsAgain: boolean;
}

/**
 * Tells how long an item has waited for an engine, in milliseconds; infinite if no engine has the
 * versions with which its output may go on any more.
 */
export type GetWaitMs<T> = (item: T) => Millis;

/** A policy for which items start at which engines. */
export abstract class PlacementPolicy {
  /**
   * Chooses the items to start now.
   *
   * @param items - the waiting items, the most urgent first
   * @param engines - the engines of the items' model
   * @param getWaitMs - tells how long an item has waited for an engine
   * @returns items with their engines; the others go on waiting
   */
  abstract place<T extends WaitingItem>(
    items: readonly T[],
    engines: readonly EngineView[],
    getWaitMs: GetWaitMs<T>,
  ): Placement<T>[];

  /** Forgets what is known of a group whose items no longer have to be placed. */
  abstract forgetGroup(group: string): void;
}

// An engine this many times slower than the fastest isn't used: it is quicker to wait.
const SLOW_ENGINE_RATIO = 1.7;
// An engine whose last known speed was slow gets this many items, to measure how fast it is now.
const PROBE_SLOTS = 1;
// With more waiting items than this for each slot of the fast engines, slow ones are used as well.
const LONG_BACKLOG_ITEMS_PER_SLOT = 2;
// Assumed while no engine's speed is known.
const DEFAULT_MS_PER_EVENT = 30;
// An item that waits longer than this may miss the end of its step.
const MAX_VERSION_WAIT_MS = 2_000;

/**
 * Balances items over engines of different speeds by their load.
 *
 * Items start only where a slot is free, and wait here rather than in an engine's queue. The items
 * of a group go to the engine that has their common prompt in its cache while it has a free slot.
 * Slow engines are used only for a long backlog.
 *
 * An output goes on only at the software version that began it, and at its weight version if it must
 * not mix several. It waits for such an engine no longer than an item that begins again takes to get
 * as far.
 */
export class BalancedPlacement extends PlacementPolicy {
  readonly #engineByGroup = new Map<string, TargetId>();

  override place<T extends WaitingItem>(
    items: readonly T[],
    engines: readonly EngineView[],
    getWaitMs: GetWaitMs<T>,
  ): Placement<T>[] {
    const usable = new EngineIndex(listEligible(items.length, engines));
    const placements: Placement<T>[] = [];
    const passedOver: T[] = [];
    for (const item of items) {
      if (usable.isFull) return placements;
      const placement = this.#placeAt(usable, item, item);
      if (placement) placements.push(placement);
      else if (item.begun) passedOver.push(item);
    }
    const fastest = findFastest(engines);
    for (const item of passedOver) {
      const wanted = createRestart(item, fastest, getWaitMs(item));
      const placement = wanted && !usable.isFull && this.#placeAt(usable, item, wanted);
      if (placement) placements.push(placement);
    }
    return placements;
  }

  /** Places an item as it is wanted: with its output, or without. */
  #placeAt<T extends WaitingItem>(
    usable: EngineIndex,
    item: T,
    wanted: WaitingItem,
  ): Placement<T> | undefined {
    const engine = usable.take(wanted, this.#engineByGroup.get(item.group));
    if (!engine) return undefined;
    this.#engineByGroup.set(item.group, engine.id);
    return { item, engine: engine.id, beginsAgain: wanted !== item };
  }

  /** For how many groups it is known which engine has their prompt. */
  get knownGroups(): number {
    return this.#engineByGroup.size;
  }

  override forgetGroup(group: string): void {
    this.#engineByGroup.delete(group);
  }
}

/**
 * Creates the item as it is to be placed when its output is discarded.
 *
 * @param item - an item whose output no engine can go on with now
 * @param fastest - the time between two events at the fastest engine, in milliseconds
 * @param waitedMs - how long the item has waited; infinite if no engine has its versions any more
 * @returns undefined if it should rather wait on
 */
export function createRestart(
  { group, leastVersion, avoidedEngines, begun }: WaitingItem,
  fastest: Millis,
  waitedMs: Millis,
): WaitingItem | undefined {
  const msPerEvent = Number.isFinite(fastest) ? fastest : DEFAULT_MS_PER_EVENT;
  const maxWaitMs = Math.min((begun?.events ?? 0) * msPerEvent, MAX_VERSION_WAIT_MS);
  if (waitedMs <= maxWaitMs) return undefined;
  // Without its output, it may run at any weight version that its submission allows.
  return { group, leastVersion, requiredVersion: undefined, avoidedEngines, begun: undefined };
}

/**
 * Tells whether an engine's last known speed is slow.
 *
 * @param engine - the engine
 * @param fastest - the time between two events at the fastest engine, in milliseconds
 */
export function isSlow({ msPerEvent }: EngineView, fastest: Millis): boolean {
  return msPerEvent !== undefined && msPerEvent > SLOW_ENGINE_RATIO * fastest;
}

/** The time between two events at the fastest engine; infinite if no engine's is known. */
export function findFastest(engines: readonly EngineView[]): Millis {
  const measured = engines.filter((engine) => engine.isSpeedFresh);
  const known = measured.length > 0 ? measured : engines;
  return Math.min(...known.map((engine) => engine.msPerEvent ?? Infinity));
}

/**
 * Limits an engine whose slow speed is out of date to the slots of a probe, at the fastest speed.
 */
function applyProbeLimit(engine: EngineView, fastest: Millis): MutableEngineView {
  const isProbe = isSlow(engine, fastest) && !engine.isSpeedFresh;
  const slots = isProbe ? Math.min(engine.slots, PROBE_SLOTS) : engine.slots;
  const isKnown = engine.msPerEvent !== undefined && !isProbe;
  return { ...engine, slots, msPerEvent: isKnown ? engine.msPerEvent : fastest };
}

/**
 * Lists the engines that items may use, as copies whose loads can be changed.
 *
 * @param waiting - how many items wait
 * @param engines - the engines of the items' model
 */
export function listEligible(waiting: number, engines: readonly EngineView[]): MutableEngineView[] {
  const fastest = findFastest(engines);
  const views = engines.map((engine) => applyProbeLimit(engine, fastest));
  const fast = views.filter((engine) => !isSlow(engine, fastest));
  const slots = fast.reduce((sum, engine) => sum + engine.running + countFreeSlots(engine), 0);
  return waiting > LONG_BACKLOG_ITEMS_PER_SLOT * slots ? views : fast;
}
