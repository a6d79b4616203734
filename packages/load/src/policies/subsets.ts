/** Evenness and churn of the ways to choose each entry's targets. */
import type { InstanceId, TargetId } from '@hibiscushill/base';
import { chooseSubset } from '@hibiscushill/routing';

import { createSeededSource } from '../arrivals';

type ChooseAll = (
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
) => Map<InstanceId, TargetId[]>;

/** The figures of one way. */
export interface SubsetResult {
  readonly way: string;
  readonly shape: string;
  /** The least and the most entries that a target has. */
  readonly least: number;
  readonly most: number;
  /** Connections that change when one entry leaves, as a part of the remaining ones. */
  readonly entryChurn: number;
  /** Connections that change when one target leaves, as a part of all; the least possible is known. */
  readonly targetChurn: number;
}

const WAYS: readonly [string, ChooseAll][] = [
  ['rendezvous', chooseEach((entry, _, targets, size) => chooseSubset(entry, targets, size))],
  [
    'even rendezvous',
    chooseEach((entry, entries, targets, size) => chooseSubset(entry, targets, size, { entries })),
  ],
  ['rounds', chooseEach(chooseByRounds)],
];

const SHAPES: readonly [number, number, number][] = [
  [3, 12, 6],
  [10, 100, 20],
  [40, 400, 20],
];

/**
 * Measures every way on several sizes of fleet.
 *
 * @returns one result a way and shape
 */
export function compareSubsets(): SubsetResult[] {
  return SHAPES.flatMap(([entryCount, targetCount, size]) =>
    WAYS.map(([way, chooseAll]) => {
      const entries = listIds<InstanceId>('entry', entryCount);
      const targets = listIds<TargetId>('target', targetCount);
      const before = chooseAll(entries, targets, size);
      const counts = countEntries(before, targets);
      return {
        way,
        shape: `${entryCount} x ${targetCount}, ${size}`,
        least: Math.min(...counts),
        most: Math.max(...counts),
        entryChurn: measureChurn(before, chooseAll(entries.slice(1), targets, size)),
        targetChurn: measureChurn(before, chooseAll(entries, targets.slice(1), size)),
      };
    }),
  );
}

function chooseEach(
  chooseOne: (
    entry: InstanceId,
    entries: readonly InstanceId[],
    targets: readonly TargetId[],
    size: number,
  ) => TargetId[],
): ChooseAll {
  return (entries, targets, size) =>
    new Map(entries.map((entry) => [entry, chooseOne(entry, entries, targets, size)]));
}

/** Deterministic subsetting: entries share out shuffled targets, round after round. */
function chooseByRounds(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
): TargetId[] {
  const perRound = Math.floor(targets.length / size);
  const index = entries.indexOf(entry);
  const random = createSeededSource(Math.floor(index / perRound));
  const shuffled = [...targets];
  for (let at = shuffled.length - 1; at > 0; at -= 1) {
    const other = random.int(0, at);
    [shuffled[at], shuffled[other]] = [shuffled[other] as TargetId, shuffled[at] as TargetId];
  }
  const start = (index % perRound) * size;
  return shuffled.slice(start, start + size);
}

function countEntries(
  subsets: ReadonlyMap<InstanceId, readonly TargetId[]>,
  targets: readonly TargetId[],
): number[] {
  const all = [...subsets.values()];
  return targets.map((target) => all.filter((subset) => subset.includes(target)).length);
}

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

function listIds<T extends string>(prefix: string, count: number): T[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}` as T);
}
