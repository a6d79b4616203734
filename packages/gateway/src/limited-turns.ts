/** The turns of a request at several targets, of which some limit their requests. */
import type { Millis, MonoTime } from '@hibiscushill/base';

import type { TargetRegistration } from './target-directory';
import type { TargetLimiter } from './target-limiter';

const MS_PER_SECOND = 1_000;

/** A turn that was reserved, and when it comes. */
export interface ReservedTurn {
  readonly target: TargetRegistration;
  readonly waitMs: Millis;
}

/**
 * Reserves the next turn of a request at any of some targets.
 *
 * @param maxWaitMs - how long the request can wait, in milliseconds
 * @returns the turn; undefined if there is none in time
 */
export function reserveTurn(
  limiter: TargetLimiter,
  targets: readonly TargetRegistration[],
  maxWaitMs: Millis,
): ReservedTurn | undefined {
  const [next] = targets
    .map((target) => ({ target, waitMs: limiter.findWait(target, maxWaitMs) ?? Infinity }))
    .filter(({ waitMs }) => waitMs <= maxWaitMs)
    .sort((a, b) => a.waitMs - b.waitMs);
  const waitMs = next && limiter.reserve(next.target, maxWaitMs);
  return next && waitMs !== undefined ? { target: next.target, waitMs } : undefined;
}

/**
 * Finds the average time between two turns of any process at some targets together.
 *
 * @returns milliseconds; undefined unless all of them limit their requests
 */
export function findTurnInterval(
  limiter: TargetLimiter,
  targets: readonly TargetRegistration[],
): Millis | undefined {
  const limits = targets.map((target) => limiter.limitOf(target));
  if (limits.length === 0 || limits.includes(undefined)) return undefined;
  const perSecond = limits.reduce<number>((sum, limit) => sum + (limit ?? 0), 0);
  return MS_PER_SECOND / perSecond;
}

/**
 * Finds when a request could be sent to one of some targets of which at least one is cold: at this
 * process's next turn, or once the first of them is no longer cold.
 *
 * @returns milliseconds; undefined if none of the targets is cold
 */
export function findColdWait(
  limiter: TargetLimiter,
  targets: readonly TargetRegistration[],
  now: MonoTime,
): Millis | undefined {
  const waits = targets.flatMap((target) => {
    const cold = limiter.findCold(target);
    if (!cold) return [];
    const leftMs = Math.max(0, cold.until - now);
    return [limiter.findWait(target, leftMs) ?? leftMs];
  });
  return waits.length === 0 ? undefined : Math.min(...waits);
}
