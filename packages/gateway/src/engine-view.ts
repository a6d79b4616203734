/** What the placement of items knows of items and engines. */
import type { Millis, SoftwareVersion, TargetId, WeightVersion } from '@hibiscushill/base';

/** What placement knows of an engine. */
export interface EngineView {
  readonly id: TargetId;
  readonly running: number;
  readonly slots: number;
  /** How many runs may start now, by the engine's limit and its ramp-up; infinite without both. */
  readonly startsLeft: number;
  readonly version: WeightVersion;
  /** The version of the engine's software; undefined if it states none. */
  readonly software: SoftwareVersion | undefined;
  /** Whether its weights are being changed, so that it refuses new runs. */
  readonly isLoading: boolean;
  /** The average time between two events of a stream; undefined if unknown. */
  readonly msPerEvent: Millis | undefined;
  /** Whether this time was measured recently; an older one may no longer hold. */
  readonly isSpeedFresh: boolean;
  /** How many times as slow it is now as when this time was measured, by what it reports. */
  readonly slowdownChange?: number | undefined;
}

/** An item's output as far as its placement depends on it. */
export interface BegunOutput {
  readonly events: number;
  /** The software version of the engines that generated it. */
  readonly software: SoftwareVersion | undefined;
}

/** An item that waits for an engine. */
export interface WaitingItem {
  /** Items of a group share the beginning of their prompt. */
  readonly group: string;
  readonly leastVersion: WeightVersion;
  /** The only version that may go on with the item's output; undefined for any. */
  readonly requiredVersion: WeightVersion | undefined;
  /** The output that its next run goes on with; undefined without any. */
  readonly begun: BegunOutput | undefined;
  /** Engines on which the item failed before; used only if no other can run it. */
  readonly avoidedEngines: ReadonlySet<TargetId>;
}

/** An engine's view whose load changes as items are placed. */
export type MutableEngineView = { -readonly [K in keyof EngineView]: EngineView[K] };

/** Whether an item's output may go on at a software version; an item without output fits any. */
export function mayGoOnAt({ begun }: WaitingItem, software: SoftwareVersion | undefined): boolean {
  return begun === undefined || begun.software === software;
}

/** Whether an engine can start a run now and has versions that suit the item. */
export function canRun(item: WaitingItem, engine: EngineView): boolean {
  if (engine.isLoading || countFreeSlots(engine) === 0) return false;
  if (!mayGoOnAt(item, engine.software)) return false;
  if (item.requiredVersion !== undefined) return engine.version === item.requiredVersion;
  return engine.version >= item.leastVersion;
}

/** Counts the runs that may start at an engine now. */
export function countFreeSlots({ slots, running, startsLeft }: EngineView): number {
  return Math.max(0, Math.min(slots - running, startsLeft));
}

/** Estimates how slow a further item would be at an engine; lower is better. */
export function estimateLoad(engine: EngineView): number {
  const { running, slots, msPerEvent = 1, slowdownChange = 1 } = engine;
  return ((running + 1) / slots) * (Number.isFinite(msPerEvent) ? msPerEvent : 1) * slowdownChange;
}
