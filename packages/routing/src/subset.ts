/** The part of a service's targets that one entry keeps connections to. */
import type { InstanceId, TargetId } from '@hibiscushill/base';

import { RendezvousKey } from './hashing';

type Subsets = ReadonlyMap<InstanceId, Set<TargetId>>;

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

/** Takes pairs in the order of their scores while the entry and the target have room. */
function chooseEvenly(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly TargetId[],
  size: number,
): TargetId[] {
  const most = Math.ceil((entries.length * size) / targets.length);
  const room = new Map(targets.map((target) => [target, most]));
  const subsets: Subsets = new Map([...entries].sort().map((id) => [id, new Set<TargetId>()]));
  for (const pair of rankPairs(entries, targets)) {
    const subset = subsets.get(pair.entry) as Set<TargetId>;
    const left = room.get(pair.target) as number;
    if (subset.size < size && left > 0) {
      subset.add(pair.target);
      room.set(pair.target, left - 1);
    }
  }
  subsets.forEach((subset) => fillUp(subset, subsets, room, size));
  return [...(subsets.get(entry) as Set<TargetId>)];
}

/** Fills a subset that already holds every target with room, by trading with a full subset. */
function fillUp(
  subset: Set<TargetId>,
  subsets: Subsets,
  room: Map<TargetId, number>,
  size: number,
): void {
  for (const [target, left] of room) {
    for (let count = left; count > 0 && subset.size < size; count -= 1) {
      const giver = [...subsets.values()].find(
        (other) => other.size === size && !other.has(target) && other !== subset,
      );
      const given = giver && [...giver].find((candidate) => !subset.has(candidate));
      if (!giver || given === undefined) break;
      giver.delete(given);
      giver.add(target);
      subset.add(given);
      room.set(target, count - 1);
    }
  }
}

function rankPairs(entries: readonly InstanceId[], targets: readonly TargetId[]): ScoredPair[] {
  return entries
    .flatMap((entry) => {
      const key = new RendezvousKey(entry);
      return targets.map((target) => ({ entry, target, score: key.score(target) }));
    })
    .sort((a, b) => b.score - a.score || compare(a.entry + a.target, b.entry + b.target));
}

function compare(one: string, other: string): number {
  return one < other ? -1 : 1;
}
