/** Which part of its machine a process leaves to callers. */
import type { CallerMemoryLimits } from './caller-memory';

/** The limits of the machine of a process. */
export interface MachineLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

// What remains holds the program itself, responses, and what the process keeps of the log.
const SMALL_REQUESTS_FRACTION = 0.04;
const LARGE_REQUESTS_FRACTION = 0.16;

/**
 * Computes how much memory callers' requests may take together. A request of the largest legal size
 * fits while no other large one is there.
 *
 * @param machine - the limits of the machine
 * @param maxBodyBytes - the largest legal body
 */
export function computeCallerMemory(
  { memoryBytes }: MachineLimits,
  maxBodyBytes: number,
): CallerMemoryLimits {
  return {
    smallBytes: memoryBytes * SMALL_REQUESTS_FRACTION,
    largeBytes: Math.max(memoryBytes * LARGE_REQUESTS_FRACTION, maxBodyBytes),
  };
}
