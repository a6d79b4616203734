/** Which connections of callers are closed when there are too many of them. */
import type { MonoTime } from '@hibiscushill/base';

/** A connection of a caller. */
export interface ConnectionView {
  /** Whether a whole request has arrived on it that has no complete response yet. */
  readonly isServing: boolean;
  /** When it was opened, or a request or response began or ended on it. */
  readonly activeAt: MonoTime;
  /** How much of a request's head has arrived on it, in bytes; 0 if no head is incomplete. */
  readonly headBytes: number;
}

/**
 * Finds the connection that is closed for a new one. Load pattern: clients open connections and keep
 * them open, idle, or within a request or with a response that they don't read, until no descriptor
 * is left for others. The one on which nothing has happened for the longest goes first.
 *
 * @param connections - all connections but the new one
 * @returns undefined if a request is being served on each of them
 */
export function findLongestInactive<T extends ConnectionView>(
  connections: Iterable<T>,
): T | undefined {
  let found: T | undefined;
  for (const one of connections) {
    if (!one.isServing && (!found || one.activeAt < found.activeAt)) found = one;
  }
  return found;
}

/**
 * Finds the connections whose incomplete heads take too much memory together. Load pattern: clients
 * send the beginnings of large heads on many connections. The largest heads go first.
 *
 * @param connections - all connections
 * @param maxBytes - how much memory incomplete heads may take together, in bytes
 */
export function listExcessHeads<T extends ConnectionView>(
  connections: Iterable<T>,
  maxBytes: number,
): T[] {
  const heads = [...connections].filter(({ headBytes }) => headBytes > 0);
  let bytes = heads.reduce((sum, { headBytes }) => sum + headBytes, 0);
  const excess: T[] = [];
  for (const one of heads.sort((a, b) => b.headBytes - a.headBytes)) {
    if (bytes <= maxBytes) break;
    bytes -= one.headBytes;
    excess.push(one);
  }
  return excess;
}
