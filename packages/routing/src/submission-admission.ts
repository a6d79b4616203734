/** Which submissions are accepted while others are open. */

// What runs submissions keeps all their items in memory. Trainers' steps have some hundred kilobytes.
const MAX_OPEN_BYTES = 40_000_000;

/**
 * Decides whether a submission is accepted. Load pattern: clients submit large bodies one after the
 * other, each of legal size, while their items wait for engines. One is always accepted.
 *
 * @param openBytes - what the items of all open submissions take
 * @param bytes - what those of the new one take
 */
export function mayAcceptSubmission(openBytes: number, bytes: number): boolean {
  return openBytes === 0 || openBytes + bytes <= MAX_OPEN_BYTES;
}
