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
// Twice this is used for a moment while responses are put together.
const RESPONSES_FRACTION = 0.05;
const CONNECTIONS_FRACTION = 0.15;
const HEADS_FRACTION = 0.05;
// What an idle connection takes, with the buffers of the HTTP parser.
const CONNECTION_BYTES = 16_384;
// The platform keeps so many descriptors for files; of the others, callers get a part, and targets,
// the log and other processes the rest.
const FILE_DESCRIPTORS = 200;
const CALLER_DESCRIPTORS_FRACTION = 0.5;

/** How many connections callers may have open, and what incomplete heads may take together. */
export interface ConnectionLimits {
  readonly connections: number;
  /** In bytes. */
  readonly headBytes: number;
}

/**
 * Computes the limits of callers' connections.
 *
 * @param machine - the limits of the machine
 */
export function computeConnectionLimits({
  memoryBytes,
  descriptors,
}: MachineLimits): ConnectionLimits {
  const byMemory = (memoryBytes * CONNECTIONS_FRACTION) / CONNECTION_BYTES;
  const byDescriptors = (descriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTORS_FRACTION;
  return {
    connections: Math.max(1, Math.floor(Math.min(byMemory, byDescriptors))),
    headBytes: memoryBytes * HEADS_FRACTION,
  };
}

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

/**
 * Computes how much memory responses may take together until their callers have read them.
 *
 * @param machine - the limits of the machine
 * @returns bytes
 */
export function computeResponseMemory({ memoryBytes }: Pick<MachineLimits, 'memoryBytes'>): number {
  return memoryBytes * RESPONSES_FRACTION;
}
