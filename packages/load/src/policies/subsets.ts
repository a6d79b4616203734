/** Measures the balance and churn of algorithms that choose each entry's subset of targets. */
import type { InstanceId, TargetId } from '@hibiscushill/base';
import { chooseTargetSubset } from '@hibiscushill/routing';

import { createSeededRandom } from '../arrivals';

/** Chooses the targets of every entry; `size` is the number of targets per entry. */
type ChooseSubsets = (
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
) => Map<InstanceId, TargetId[]>;

/** The results of one algorithm on one fleet. */
export interface SubsetResult {
  readonly algorithm: string;
  /** The number of entries and targets, and the size of a subset. */
  readonly fleet: string;
  /** The lowest and highest number of entries that chose the same target. */
  readonly minEntries: number;
  readonly maxEntries: number;
  /** New connections after one entry has left, as a fraction of all connections then. */
  readonly entryChurn: number;
  /**
   * New connections after one target has left, as a fraction of all connections then. At least the
   * connections to that target must be replaced.
   */
  readonly targetChurn: number;
}

const ALGORITHMS: readonly [string, ChooseSubsets][] = [
  [
    'rendezvous',
    forEachEntry((entry, _, targets, size) => chooseTargetSubset(entry, targets, size)),
  ],
  [
    'balanced rendezvous',
    forEachEntry((entry, entries, targets, size) =>
      chooseTargetSubset(entry, targets, size, { entries }),
    ),
  ],
  ['deterministic subsetting', forEachEntry(chooseDeterministically)],
];

// Number of entries, number of targets, size of a subset.
const FLEETS: readonly [number, number, number][] = [
  [3, 12, 6],
  [10, 100, 20],
  [40, 400, 20],
];

/**
 * Measures every algorithm on fleets of several sizes.
 *
 * @returns one result per algorithm and fleet
 */
export function compareSubsets(): SubsetResult[] {
  return FLEETS.flatMap(([entryCount, targetCount, size]) =>
    ALGORITHMS.map(([algorithm, chooseSubsets]) => {
      const entries = createIds<InstanceId>('entry', entryCount);
      const targets = createIds<TargetId>('target', targetCount);
      const before = chooseSubsets(entries, targets, size);
      const counts = countEntriesPerTarget(before, targets);
      return {
        algorithm,
        fleet: `${entryCount} x ${targetCount}, ${size}`,
        minEntries: Math.min(...counts),
        maxEntries: Math.max(...counts),
        entryChurn: measureChurn(before, chooseSubsets(entries.slice(1), targets, size)),
        targetChurn: measureChurn(before, chooseSubsets(entries, targets.slice(1), size)),
      };
    }),
  );
}

/** Turns an algorithm for one entry into one for all entries. */
function forEachEntry(
  chooseOne: (
    entry: InstanceId,
    entries: readonly InstanceId[],
    targets: readonly TargetId[],
    size: number,
  ) => TargetId[],
): ChooseSubsets {
  return (entries, targets, size) =>
    new Map(entries.map((entry) => [entry, chooseOne(entry, entries, targets, size)]));
}

/**
 * Deterministic subsetting, as in Google's Site Reliability Engineering book: the entries are
 * divided into rounds. Each round shuffles the targets with a seed of its own, and its entries get
 * consecutive slices of them.
 */
function chooseDeterministically(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
): TargetId[] {
  const entriesPerRound = Math.floor(targets.length / size);
  const index = entries.indexOf(entry);
  const random = createSeededRandom(Math.floor(index / entriesPerRound));
  const shuffled = [...targets];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = random.int(0, last);
    [shuffled[last], shuffled[other]] = [shuffled[other] as TargetId, shuffled[last] as TargetId];
  }
  const start = (index % entriesPerRound) * size;
  return shuffled.slice(start, start + size);
}

/** Counts the entries that chose each target. */
function countEntriesPerTarget(
  subsets: ReadonlyMap<InstanceId, readonly TargetId[]>,
  targets: readonly TargetId[],
): number[] {
  const all = [...subsets.values()];
  return targets.map((target) => all.filter((subset) => subset.includes(target)).length);
}

/** Computes the fraction of the connections after a change that did not exist before it. */
function measureChurn(
  before: ReadonlyMap<InstanceId, readonly TargetId[]>,
  after: ReadonlyMap<InstanceId, readonly TargetId[]>,
): number {
  const pairs = [...after].flatMap(([entry, subset]) =>
    subset.map((target) => ({ entry, target })),
  );
  const added = pairs.filter(({ entry, target }) => !before.get(entry)?.includes(target));
  return added.length / pairs.length;
}

function createIds<T extends string>(prefix: string, count: number): T[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}` as T);
}
