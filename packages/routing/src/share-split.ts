/** Pure functions that split a team's bounds among entries. */
import type { InstanceId } from '@hibiscushill/base';

/** The fraction of a bound that each entry may use. The fractions of a whole bound sum to one. */
export type ShareByEntry = ReadonlyMap<InstanceId, number>;

/**
 * Splits a bound evenly.
 *
 * @param entries - the entries
 * @returns the same share for each entry
 */
export function splitEvenly(entries: readonly InstanceId[]): ShareByEntry {
  return new Map(entries.map((entry) => [entry, 1 / entries.length]));
}

/**
 * Adapts a split to a changed set of entries: new entries get an even share, and those that were
 * in the split keep their proportions to one another.
 *
 * @param split - the earlier split
 * @param entries - the current entries
 * @returns a split over exactly the current entries
 */
export function adaptToEntries(split: ShareByEntry, entries: readonly InstanceId[]): ShareByEntry {
  const kept = entries.filter((entry) => split.has(entry));
  const keptTotal = sum(kept.map((entry) => split.get(entry) as number));
  if (keptTotal === 0) return splitEvenly(entries);
  const scale = kept.length / entries.length / keptTotal;
  const shareOf = (entry: InstanceId) => (split.get(entry) ?? keptTotal / kept.length) * scale;
  return new Map(entries.map((entry) => [entry, shareOf(entry)]));
}

/**
 * Interpolates linearly between a split and the even split.
 *
 * @param split - the split
 * @param progress - 0 returns the split unchanged, 1 returns the even split
 * @returns the interpolated split
 */
export function interpolateToEven(split: ShareByEntry, progress: number): ShareByEntry {
  const even = 1 / split.size;
  return new Map(
    [...split].map(([entry, share]) => [entry, share + (even - share) * progress] as const),
  );
}

/**
 * Splits a budget by demand. If the total demand fits, each entry gets its own demand and an even
 * part of what is left; otherwise shares are proportional to demand. A fraction of the budget is
 * split evenly first, so that an entry without demand has a share too.
 *
 * @param budget - the fraction of the bound that is split, from 0 to 1
 * @param demand - each entry's demand as a multiple of the whole bound
 * @param evenFraction - the fraction of the budget that is split evenly, from 0 to 1
 * @returns a share for each entry; the shares sum to the budget
 */
export function splitByDemand(
  budget: number,
  demand: ReadonlyMap<InstanceId, number>,
  evenFraction: number,
): ShareByEntry {
  const totalDemand = sum([...demand.values()]);
  const sparePerEntry = Math.max(0, budget - totalDemand) / demand.size;
  const scale = totalDemand > budget ? budget / totalDemand : 1;
  const evenPart = (budget / demand.size) * evenFraction;
  return new Map(
    [...demand].map(
      ([entry, ownDemand]) =>
        [entry, (ownDemand * scale + sparePerEntry) * (1 - evenFraction) + evenPart] as const,
    ),
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
