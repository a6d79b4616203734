/** When a request is sent to a second target because the first one is slow at the moment. */
import type { Clock, Millis, ServiceId, TargetId } from '@hibiscushill/base';

import { RetryBudget } from './retry-budget';

/** A request that waits for the response of its first target. */
export interface OpenRequest {
  readonly ageMs: Millis;
  /** How long the first target usually takes; undefined if no target's time is known. */
  readonly usualMs: Millis | undefined;
  /** How long the first target is expected to take in all. */
  readonly expectedMs: Millis;
  /** The age at which any faster target is worth a hedge. */
  readonly maxDelayMs: Millis;
}

/** A target to which a request was not sent yet. */
export interface HedgeTarget {
  readonly id: TargetId;
  readonly expectedMs: Millis;
  readonly hasFreeSlot: boolean;
}

/** The targets to which a request may be sent now, or when to ask again. */
export type HedgeDecision =
  | { readonly type: 'hedge'; readonly targets: readonly TargetId[]; readonly isEarly: boolean }
  | { readonly type: 'wait'; readonly ms: Millis };

// Work that takes longer than this times as usual, and the tolerance below, is overdue.
const OVERDUE_FACTOR = 1.3;
const OVERDUE_TOLERANCE_MS = 4;
// How soon a request without a target for its hedge is looked at again, unless a target reports its speed first.
const RECHECK_MS = 3;
// Early hedges for each request. The bound on the extra load is a tenth of the requests.
const HEDGES_PER_REQUEST = 0.095;
// Early hedges that a service can save up while its targets are fast.
const MAX_SAVED_HEDGES = 20;

/**
 * Decides when and where requests are hedged. Load pattern: targets whose speed changes within a
 * second, so that a process often learns only after sending a request that its target is slow.
 *
 * An early hedge must save at least the work of one request, which it costs, and is taken from a
 * budget. One at the request's usual delay, which it would get without speeds as well, only needs a
 * faster target. Both need a target with a free slot.
 */
export class SpeedHedge {
  readonly #budget: RetryBudget;

  /** @param clock - the clock of the budget */
  constructor(clock: Clock) {
    this.#budget = new RetryBudget({
      clock,
      retriesPerFirstAttempt: HEDGES_PER_REQUEST,
      minRetriesPerSecond: 0,
      maxBalance: MAX_SAVED_HEDGES,
      initialBalance: 0,
    });
  }

  /** Counts a request, which adds to its service's budget of hedges. */
  recordRequest(service: ServiceId): void {
    this.#budget.recordFirstAttempt(service);
  }

  /** Takes an early hedge from a service's budget; returns false if it is used up. */
  tryStartEarly(service: ServiceId): boolean {
    return this.#budget.tryTake(service);
  }

  /** Decides whether a request is hedged now, and when to ask again otherwise. */
  decide(request: OpenRequest, others: readonly HedgeTarget[]): HedgeDecision {
    const { ageMs, usualMs, expectedMs, maxDelayMs } = request;
    const isEarly = ageMs < maxDelayMs;
    // What takes longer than expected takes as long again on average.
    const leftMs = ageMs < expectedMs || isEarly ? expectedMs - ageMs : ageMs;
    const minGainMs = isEarly ? (usualMs ?? Infinity) : 0;
    const faster = others
      .filter((other) => other.hasFreeSlot && other.expectedMs + minGainMs < leftMs)
      .sort((a, b) => a.expectedMs - b.expectedMs);
    if (faster.length > 0) {
      return { type: 'hedge', targets: faster.map(({ id }) => id), isEarly };
    }
    const dueMs = Math.min(maxDelayMs, findOverdueMs(usualMs ?? Infinity));
    return { type: 'wait', ms: Math.max(RECHECK_MS, dueMs - ageMs) };
  }
}

/** The age from which a request is overdue, for a target that usually takes a time. */
export function findOverdueMs(usualMs: Millis): Millis {
  return OVERDUE_FACTOR * usualMs + OVERDUE_TOLERANCE_MS;
}
