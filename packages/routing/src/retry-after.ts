/** When a refused caller should come back. */
import type { Millis, RandomSource } from '@hibiscushill/base';

const LEAST_RETRY_AFTER_MS = 1;
const DEFAULT_SPREAD = 0.5;

/**
 * Spreads the return of refused callers over time, so that they don't come back at once.
 *
 * @param ms - the earliest time that makes sense, in milliseconds
 * @param random - the random source
 * @param spread - the greatest part of `ms` that is added
 * @returns whole milliseconds, never earlier than `ms`
 */
export function spreadRetryAfter(
  ms: Millis,
  random: RandomSource,
  spread = DEFAULT_SPREAD,
): Millis {
  const spreadMs = ms * (1 + spread * random.fraction());
  return Math.max(LEAST_RETRY_AFTER_MS, Math.ceil(spreadMs));
}
