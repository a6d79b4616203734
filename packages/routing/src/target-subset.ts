/** The subset of a service's targets that one entry keeps connections to. */
import type { InstanceId, TargetId } from '@hibiscushill/base';

import { RendezvousKey } from './rendezvous-key';

type SubsetByEntry = ReadonlyMap<InstanceId, Set<TargetId>>;

interface ScoredPair {
  readonly entry: InstanceId;
  readonly target: TargetId;
  readonly score: number;
}

/**
 * Chooses an entry's targets by rendezvous hashing. If the list of entries is given, every entry
 * computes the same assignment, in which no target is in more subsets than its even part, rounded
 * up.
 *
 * @param entry - the entry
 * @param targets - the service's targets
 * @param size - the number of targets to choose
 * @param options - `entries`: all entries, this one included
 * @returns the chosen targets, sorted by id; all targets when there are no more than `size`
 */
export function chooseTargetSubset(
  entry: InstanceId,
  targets: readonly TargetId[],
  size: number,
  options: { entries?: readonly InstanceId[] } = {},
): TargetId[] {
  if (targets.length <= size) return [...targets].sort();
  const entries = options.entries ?? [];
  const chosen = entries.includes(entry)
    ? chooseBalanced(entry, entries, targets, size)
    : rankPairs([entry], targets)
        .slice(0, size)
        .map((pair) => pair.target);
  return chosen.sort();
}

/**
 * Assigns targets to all entries: goes through the pairs of entry and target by descending score,
 * and takes each pair whose entry needs targets and whose target has capacity for entries.
 */
function chooseBalanced(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
): TargetId[] {
  const maxEntriesPerTarget = Math.ceil((entries.length * size) / targets.length);
  const capacity = new Map(targets.map((target) => [target, maxEntriesPerTarget]));
  const subsets: SubsetByEntry = new Map(
    [...entries].sort().map((id) => [id, new Set<TargetId>()]),
  );
  for (const pair of rankPairs(entries, targets)) {
    const subset = subsets.get(pair.entry) as Set<TargetId>;
    const remaining = capacity.get(pair.target) as number;
    if (subset.size < size && remaining > 0) {
      subset.add(pair.target);
      capacity.set(pair.target, remaining - 1);
    }
  }
  subsets.forEach((subset) => fillBySwapping(subset, subsets, capacity, size));
  return [...(subsets.get(entry) as Set<TargetId>)];
}

/**
 * Completes a subset that already holds every target with capacity: a complete subset takes such a
 * target and gives one of its own in exchange.
 */
function fillBySwapping(
  subset: Set<TargetId>,
  subsets: SubsetByEntry,
  capacity: Map<TargetId, number>,
  size: number,
): void {
  for (const [target, initial] of capacity) {
    for (let remaining = initial; remaining > 0 && subset.size < size; remaining -= 1) {
      const donor = [...subsets.values()].find(
        (other) => other.size === size && !other.has(target) && other !== subset,
      );
      const donated = donor && [...donor].find((candidate) => !subset.has(candidate));
      if (!donor || donated === undefined) break;
      donor.delete(donated);
      donor.add(target);
      subset.add(donated);
      capacity.set(target, remaining - 1);
    }
  }
}

/** Lists all pairs of entry and target by descending score. */
function rankPairs(entries: readonly InstanceId[], targets: readonly TargetId[]): ScoredPair[] {
  return entries
    .flatMap((entry) => {
      const key = new RendezvousKey(entry);
      return targets.map((target) => ({ entry, target, score: key.score(target) }));
    })
    .sort((a, b) => b.score - a.score || compareStrings(a.entry + a.target, b.entry + b.target));
}

function compareStrings(a: string, b: string): number {
  return a < b ? -1 : 1;
}
