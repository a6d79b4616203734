/** What follows a failed attempt. */
import {
  type CodeName,
  type Failure,
  type Millis,
  type RandomSource,
  type RunState,
  type ServiceId,
  createFailure,
} from '@hibiscushill/base';

import { spreadRetryAfter } from './retry-after';
import type { RetryBudget } from './retry-budget';

/** The state of the request whose attempt failed. */
export interface RetryContext {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  /** The attempts so far, the failed one included. */
  readonly attempts: number;
  /** The time until the request's deadline, in milliseconds. */
  readonly remainingMs: Millis;
  /** Whether a part of an answer has gone to the caller. */
  readonly firstByteSent: boolean;
  /** Whether the failed attempt's agent has been asked to revoke it. */
  readonly revokeTried?: boolean;
  /** Whether an earlier attempt of the request may have run. */
  readonly earlierMayHaveRun?: boolean;
}

/** What to do next. */
export type RetryDecision =
  | { readonly action: 'retry' }
  | { readonly action: 'revoke-first' }
  | { readonly action: 'give-up'; readonly failure: Failure };

/** Decides what follows a failed attempt. */
export abstract class RetryPolicy {
  /**
   * Decides what follows.
   *
   * @param outcome - how the attempt failed
   * @param context - the request's state
   * @returns a retry, a revocation with another decision after it, or the failure to answer with
   */
  abstract decide(outcome: Failure, context: RetryContext): RetryDecision;
}

/** Answers every failure to the caller, with a true `run` field. */
export class NoRetry extends RetryPolicy {
  override decide(outcome: Failure, context: RetryContext): RetryDecision {
    return { action: 'give-up', failure: describeEnd(outcome, context) };
  }
}

/** How {@link SafeRetryPolicy} decides. */
export interface SafeRetryOptions {
  readonly budget: RetryBudget;
  readonly random: RandomSource;
  /** The most attempts of one request. */
  readonly mostAttempts?: number;
  /** The least time that a retry must have left, in milliseconds. */
  readonly leastRemainingMs?: Millis;
  /** When callers come back after an exhausted budget, in milliseconds. */
  readonly retryAfterMs?: Millis;
}

const DEFAULT_MOST_ATTEMPTS = 4;
const DEFAULT_LEAST_REMAINING_MS = 5;
const DEFAULT_RETRY_AFTER_MS = 500;

/** Failures that another target may not have. */
const RETRYABLE: ReadonlySet<CodeName> = new Set<CodeName>([
  'queue_full',
  'store_full',
  'target_leaving',
  'target_down',
  'attempt_revoked',
  'incarnation_stale',
  'config_stale',
  'not_ready',
  'shutting_down',
  'outcome_unknown',
  'answer_broken',
]);

/** Refusals that cost their target nothing and come of a change of targets, not of load. */
const FREE: ReadonlySet<CodeName> = new Set<CodeName>([
  'target_leaving',
  'attempt_revoked',
  'incarnation_stale',
  'shutting_down',
]);

/**
 * Retries what has not run, and idempotent work, within the budget. Work that is not idempotent
 * is revoked first where its outcome is unknown.
 */
export class SafeRetryPolicy extends RetryPolicy {
  readonly #budget: RetryBudget;

  readonly #random: RandomSource;

  readonly #mostAttempts: number;

  readonly #leastRemainingMs: Millis;

  readonly #retryAfterMs: Millis;

  /** @param options - the budget, the random source and the bounds */
  constructor(options: SafeRetryOptions) {
    super();
    this.#budget = options.budget;
    this.#random = options.random;
    this.#mostAttempts = options.mostAttempts ?? DEFAULT_MOST_ATTEMPTS;
    this.#leastRemainingMs = options.leastRemainingMs ?? DEFAULT_LEAST_REMAINING_MS;
    this.#retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  }

  override decide(outcome: Failure, context: RetryContext): RetryDecision {
    if (!RETRYABLE.has(outcome.code) || context.firstByteSent) return giveUp(outcome, context);
    if (this.#needsRevoke(outcome, context)) return { action: 'revoke-first' };
    const unsafe = outcome.run === 'may-have-run' && !context.idempotent;
    if (unsafe || !this.#hasRoom(context)) return giveUp(outcome, context);
    if (FREE.has(outcome.code) || this.#budget.tryTake(context.service)) {
      return { action: 'retry' };
    }
    return giveUp(this.#createExhausted(outcome), context);
  }

  #needsRevoke(outcome: Failure, { idempotent, revokeTried }: RetryContext): boolean {
    return outcome.code === 'outcome_unknown' && isInDoubt(outcome) && !idempotent && !revokeTried;
  }

  #hasRoom({ attempts, remainingMs }: RetryContext): boolean {
    return attempts < this.#mostAttempts && remainingMs >= this.#leastRemainingMs;
  }

  #createExhausted(outcome: Failure): Failure {
    return createFailure('retry_budget_exhausted', {
      detail: `The last try failed with ${outcome.code}.`,
      run: outcome.run,
      retryAfterMs: spreadRetryAfter(this.#retryAfterMs, this.#random),
    });
  }
}

function isInDoubt(outcome: Failure): boolean {
  return outcome.run === 'may-have-run';
}

function giveUp(outcome: Failure, context: RetryContext): RetryDecision {
  return { action: 'give-up', failure: describeEnd(outcome, context) };
}

/** Words the failure that ends a request, so that its `run` field covers every attempt. */
function describeEnd(outcome: Failure, context: RetryContext): Failure {
  const run: RunState =
    outcome.run === 'may-have-run' || context.earlierMayHaveRun || context.firstByteSent
      ? 'may-have-run'
      : 'not-run';
  const code =
    context.firstByteSent && RETRYABLE.has(outcome.code) ? 'answer_broken' : outcome.code;
  return { ...outcome, code, run };
}
