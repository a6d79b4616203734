/** The arithmetic of splitting a team's bound among entries. */
import type { InstanceId } from '@hibiscushill/base';

/** A part of the whole bound for each entry. The parts sum to one. */
export type Split = ReadonlyMap<InstanceId, number>;

/**
 * Splits the bound evenly.
 *
 * @param entries - the entries
 * @returns one part an entry
 */
export function splitEvenly(entries: readonly InstanceId[]): Split {
  return new Map(entries.map((entry) => [entry, 1 / entries.length]));
}

/**
 * Carries a split over to a changed set of entries: new ones get an even part, the others keep
 * their proportions.
 *
 * @param split - the former split
 * @param entries - the present entries
 * @returns a split over exactly these entries
 */
export function carrySplit(split: Split, entries: readonly InstanceId[]): Split {
  const kept = entries.filter((entry) => split.has(entry));
  const keptTotal = sum(kept.map((entry) => split.get(entry) as number));
  if (keptTotal === 0) return splitEvenly(entries);
  const scale = kept.length / entries.length / keptTotal;
  const part = (entry: InstanceId) => (split.get(entry) ?? keptTotal / kept.length) * scale;
  return new Map(entries.map((entry) => [entry, part(entry)]));
}

/**
 * Moves a split towards the even one.
 *
 * @param split - the split
 * @param progress - 0 leaves it as it is, 1 makes it even
 * @returns the split between
 */
export function evenOut(split: Split, progress: number): Split {
  const even = 1 / split.size;
  return new Map(
    [...split].map(([entry, part]) => [entry, part + (even - part) * progress] as const),
  );
}

/**
 * Splits a budget by demand. While the demand fits, each entry gets its own and an even part of
 * what is spare; else parts are in proportion to demand. A floor goes to every entry first.
 *
 * @param budget - the part of the bound that is to be split
 * @param demand - each entry's demand as a part of the whole bound
 * @param floor - the part of the budget that is split evenly, from 0 to 1
 * @returns a part for each entry, which sum to the budget
 */
export function splitByDemand(
  budget: number,
  demand: ReadonlyMap<InstanceId, number>,
  floor: number,
): Split {
  const total = sum([...demand.values()]);
  const spare = Math.max(0, budget - total) / demand.size;
  const scale = total > budget ? budget / total : 1;
  const floorPart = (budget / demand.size) * floor;
  return new Map(
    [...demand].map(
      ([entry, own]) => [entry, (own * scale + spare) * (1 - floor) + floorPart] as const,
    ),
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
