/** The part of a service's targets that one entry keeps connections to. */
import type { InstanceId, TargetId } from '@hibiscushill/base';

import { RendezvousKey } from './hashing';

interface ScoredPair {
  readonly entry: InstanceId;
  readonly target: TargetId;
  readonly score: number;
}

/**
 * Chooses an entry's targets by rendezvous hashing. With the list of entries, every entry computes
 * the same assignment, in which no target is in more subsets than its even part.
 *
 * @param entry - the entry
 * @param targets - the service's targets
 * @param size - how many to choose
 * @param options - `entries`: all entries, this one included
 * @returns the chosen targets in the order of their ids; all when there are no more than `size`
 */
export function chooseSubset(
  entry: InstanceId,
  targets: readonly TargetId[],
  size: number,
  options: { entries?: readonly InstanceId[] } = {},
): TargetId[] {
  if (targets.length <= size) return [...targets].sort();
  const entries = options.entries ?? [];
  const chosen = entries.includes(entry)
    ? chooseEvenly(entry, entries, targets, size)
    : rankPairs([entry], targets)
        .slice(0, size)
        .map((pair) => pair.target);
  return chosen.sort();
}

function chooseEvenly(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
): TargetId[] {
  const most = Math.ceil((entries.length * size) / targets.length);
  const taken = new Map<TargetId, number>();
  const subsets = new Map(entries.map((id) => [id, new Set<TargetId>()]));
  const pairs = rankPairs(entries, targets);
  const take = (bound: number) => {
    for (const pair of pairs) {
      const subset = subsets.get(pair.entry) as Set<TargetId>;
      const count = taken.get(pair.target) ?? 0;
      if (subset.size < size && count < bound && !subset.has(pair.target)) {
        subset.add(pair.target);
        taken.set(pair.target, count + 1);
      }
    }
  };
  take(most);
  // The last entries can find only targets that they hold already; they go above the bound.
  take(Infinity);
  return [...(subsets.get(entry) as Set<TargetId>)];
}

function rankPairs(entries: readonly InstanceId[], targets: readonly TargetId[]): ScoredPair[] {
  return entries
    .flatMap((entry) => {
      const key = new RendezvousKey(entry);
      return targets.map((target) => ({ entry, target, score: key.score(target) }));
    })
    .sort((a, b) => b.score - a.score || (a.target < b.target ? -1 : 1));
}
