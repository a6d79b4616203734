/** The wait that a refused caller is asked for before it retries. */
import type { Millis, RandomSource } from '@hibiscushill/base';

const MIN_RETRY_AFTER_MS = 1;
const DEFAULT_JITTER = 0.5;

/**
 * Adds jitter to a wait, so that callers refused at the same time don't retry at the same time.
 *
 * @param ms - the shortest wait, in milliseconds
 * @param random - the random source
 * @param jitter - the most that is added, as a fraction of `ms`
 * @returns whole milliseconds, at least `ms` and at least 1
 */
export function jitterRetryAfter(
  ms: Millis,
  random: RandomSource,
  jitter = DEFAULT_JITTER,
): Millis {
  const jitteredMs = ms * (1 + jitter * random.fraction());
  return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(jitteredMs));
}
