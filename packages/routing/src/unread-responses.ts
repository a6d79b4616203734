/** Which responses are given up that their callers don't read. */
import type { Millis, MonoTime } from '@hibiscushill/base';

/** A response of which its caller hasn't read what was written. */
export interface UnreadResponse {
  readonly bytes: number;
  /** Since when it hasn't. */
  readonly since: MonoTime;
}

// Callers read a response of a megabyte within this time on any link of the platform.
const STALLED_MS: Millis = 2_000;

/**
 * Lists the responses that are given up while those of the process exceed its memory. Load pattern:
 * callers send many requests and read no response; each response is small, and all of them together
 * aren't. Only those that were left unread for long are given up, the oldest first.
 *
 * @param unread - the responses, those that are unread for the longest time first
 * @param excessBytes - by how much they exceed the memory
 * @param now - the current time
 */
export function listStalledResponses<T extends UnreadResponse>(
  unread: Iterable<T>,
  excessBytes: number,
  now: MonoTime,
): T[] {
  const stalled: T[] = [];
  let leftBytes = excessBytes;
  for (const one of unread) {
    if (leftBytes <= 0 || now - one.since < STALLED_MS) break;
    stalled.push(one);
    leftBytes -= one.bytes;
  }
  return stalled;
}
