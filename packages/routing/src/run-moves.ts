/** Which runs in progress can go on at other engines of their service. */
import type { SoftwareVersion, WeightVersion, ZoneId } from '@hibiscushill/base';

import type { AllowedRegions } from './allowed-regions';

/** What a run needs of the engine at which it goes on with its output. */
export interface RunNeeds {
  readonly software: SoftwareVersion | undefined;
  readonly leastVersion: WeightVersion;
  /** The only weight version that may go on with the output; undefined for any. */
  readonly requiredVersion: WeightVersion | undefined;
  /** Undefined if the run may go on in all zones. */
  readonly regions: AllowedRegions | undefined;
}

/** A run that is to leave its engine. */
export interface LeavingRun<T> {
  readonly run: T;
  readonly needs: RunNeeds;
}

/** Free slots of engines that are alike to every run. */
export interface SlotGroup {
  readonly software: SoftwareVersion | undefined;
  readonly version: WeightVersion;
  readonly zone: ZoneId;
  readonly slots: number;
}

/** Runs with the same needs, and the slots that they can use. */
interface RunClass {
  readonly needs: RunNeeds;
  /** The positions of the runs in the list. */
  readonly runs: number[];
}

/** Whether a run can go on at the engines of a group. */
export function canMoveTo(needs: RunNeeds, group: SlotGroup): boolean {
  if (group.software !== needs.software) return false;
  if (needs.regions && !needs.regions.allows(group.zone)) return false;
  if (needs.requiredVersion !== undefined) return group.version === needs.requiredVersion;
  return group.version >= needs.leastVersion;
}

/**
 * Assigns free slots to runs that are to leave their engines, so that no run is ended without a
 * place at which it can go on. Load pattern: several engines are to load new weights, or are slow,
 * at the same time, while the outputs of some runs may go on at few other engines.
 *
 * Runs that can use the fewest slots choose first, and take those that the fewest others can use.
 *
 * @param runs - the runs, those that are to move first at the beginning
 * @param groups - the free slots of the engines to which they may move
 * @returns the runs that have a slot of their own, in the order given
 */
export function assignSlots<T>(
  runs: readonly LeavingRun<T>[],
  groups: readonly SlotGroup[],
): LeavingRun<T>[] {
  const free = groups.map(({ slots }) => slots);
  const classes = groupByNeeds(runs).map((one) => ({
    ...one,
    usable: groups.flatMap((group, index) => (canMoveTo(one.needs, group) ? [index] : [])),
  }));
  const demand = groups.map((_, index) =>
    classes
      .filter(({ usable }) => usable.includes(index))
      .reduce((sum, one) => sum + one.runs.length, 0),
  );
  const countSlots = (usable: readonly number[]): number =>
    usable.reduce((sum, index) => sum + groups[index]!.slots, 0);
  const placed = new Set<number>();
  [...classes]
    .sort((a, b) => countSlots(a.usable) - countSlots(b.usable))
    .forEach((one) => {
      const waiting = [...one.runs];
      [...one.usable]
        .sort((a, b) => demand[a]! - demand[b]!)
        .forEach((index) => {
          const taken = waiting.splice(0, free[index]);
          free[index]! -= taken.length;
          taken.forEach((run) => placed.add(run));
        });
    });
  return runs.filter((_, index) => placed.has(index));
}

function groupByNeeds(runs: readonly LeavingRun<unknown>[]): RunClass[] {
  const classes: RunClass[] = [];
  runs.forEach(({ needs }, index) => {
    const known = classes.find((one) => hasSameNeeds(one.needs, needs));
    if (known) known.runs.push(index);
    else classes.push({ needs, runs: [index] });
  });
  return classes;
}

function hasSameNeeds(a: RunNeeds, b: RunNeeds): boolean {
  return (
    a.software === b.software &&
    a.leastVersion === b.leastVersion &&
    a.requiredVersion === b.requiredVersion &&
    (a.regions?.key ?? '') === (b.regions?.key ?? '')
  );
}
