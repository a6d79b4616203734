/** Decides whether a failed attempt is retried. */
import {
  type CodeName,
  type Failure,
  type Millis,
  type RandomSource,
  type RunState,
  type ServiceId,
  createFailure,
} from '@hibiscushill/base';

import { jitterRetryAfter } from './retry-after';
import type { RetryBudget } from './retry-budget';

/** The state of the request whose attempt failed. */
export interface RetryContext {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  /** The number of attempts so far, the failed one included. */
  readonly attempts: number;
  /** The time until the request's deadline, in milliseconds. */
  readonly remainingMs: Millis;
  /** Whether a part of a response has been sent to the caller. */
  readonly firstByteSent: boolean;
  /** Whether the agent of the failed attempt has been asked to revoke it. */
  readonly revokeSent?: boolean;
  /** Whether an earlier attempt of the request may have run. */
  readonly earlierAttemptMayHaveRun?: boolean;
}

/**
 * What the caller of the policy does next. After `revoke-first` it asks the agent to revoke the
 * attempt, and then asks the policy again.
 */
export type RetryDecision =
  | { readonly action: 'retry' }
  | { readonly action: 'revoke-first' }
  | { readonly action: 'give-up'; readonly failure: Failure };

/** Decides what follows a failed attempt. */
export abstract class RetryPolicy {
  /**
   * Decides what follows a failed attempt.
   *
   * @param outcome - the attempt's failure
   * @param context - the request's state
   * @returns the decision; `give-up` has the failure to report to the caller
   */
  abstract decide(outcome: Failure, context: RetryContext): RetryDecision;
}

/** Never retries. */
export class NoRetryPolicy extends RetryPolicy {
  override decide(outcome: Failure, context: RetryContext): RetryDecision {
    return { action: 'give-up', failure: createFinalFailure(outcome, context) };
  }
}

/** The budget and the limits of {@link SafeRetryPolicy}. */
export interface SafeRetryPolicyOptions {
  readonly budget: RetryBudget;
  readonly random: RandomSource;
  /** The highest number of attempts for one request. */
  readonly maxAttempts?: number;
  /** The shortest time to the deadline that allows a retry, in milliseconds. */
  readonly minRemainingMs?: Millis;
  /** The shortest wait that callers are asked for when the budget is used up, in milliseconds. */
  readonly retryAfterMs?: Millis;
}

const DEFAULT_MAX_ATTEMPTS = 4;
const DEFAULT_MIN_REMAINING_MS = 5;
const DEFAULT_RETRY_AFTER_MS = 500;

/** Failures that may not occur at another target. */
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

/**
 * Failures whose retries are not charged to the budget: they cost the target nothing, and arise
 * when targets are replaced, not under load.
 */
const EXEMPT_FROM_BUDGET: ReadonlySet<CodeName> = new Set<CodeName>([
  'target_leaving',
  'attempt_revoked',
  'incarnation_stale',
  'shutting_down',
]);

/**
 * Retries attempts that have not run, and idempotent work, within the budget. An attempt that is
 * not idempotent and whose outcome is unknown is revoked first.
 */
export class SafeRetryPolicy extends RetryPolicy {
  readonly #budget: RetryBudget;

  readonly #random: RandomSource;

  readonly #maxAttempts: number;

  readonly #minRemainingMs: Millis;

  readonly #retryAfterMs: Millis;

  /** @param options - the budget, the random source and the limits */
  constructor(options: SafeRetryPolicyOptions) {
    super();
    this.#budget = options.budget;
    this.#random = options.random;
    this.#maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    this.#minRemainingMs = options.minRemainingMs ?? DEFAULT_MIN_REMAINING_MS;
    this.#retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  }

  override decide(outcome: Failure, context: RetryContext): RetryDecision {
    if (!RETRYABLE.has(outcome.code) || context.firstByteSent) return giveUp(outcome, context);
    if (this.#needsRevoke(outcome, context)) return { action: 'revoke-first' };
    const isUnsafe = outcome.run === 'may-have-run' && !context.idempotent;
    if (isUnsafe || !this.#hasAttemptsAndTime(context)) return giveUp(outcome, context);
    if (EXEMPT_FROM_BUDGET.has(outcome.code) || this.#budget.tryTake(context.service)) {
      return { action: 'retry' };
    }
    return giveUp(this.#createBudgetFailure(outcome), context);
  }

  #needsRevoke(outcome: Failure, { idempotent, revokeSent }: RetryContext): boolean {
    return outcome.code === 'outcome_unknown' && mayHaveRun(outcome) && !idempotent && !revokeSent;
  }

  #hasAttemptsAndTime({ attempts, remainingMs }: RetryContext): boolean {
    return attempts < this.#maxAttempts && remainingMs >= this.#minRemainingMs;
  }

  #createBudgetFailure(outcome: Failure): Failure {
    return createFailure('retry_budget_exhausted', {
      detail: `The last attempt failed with ${outcome.code}.`,
      run: outcome.run,
      retryAfterMs: jitterRetryAfter(this.#retryAfterMs, this.#random),
    });
  }
}

function mayHaveRun(outcome: Failure): boolean {
  return outcome.run === 'may-have-run';
}

function giveUp(outcome: Failure, context: RetryContext): RetryDecision {
  return { action: 'give-up', failure: createFinalFailure(outcome, context) };
}

/** Creates the failure that ends a request. Its `run` field covers all attempts of the request. */
function createFinalFailure(outcome: Failure, context: RetryContext): Failure {
  const run: RunState =
    outcome.run === 'may-have-run' || context.earlierAttemptMayHaveRun || context.firstByteSent
      ? 'may-have-run'
      : 'not-run';
  const code =
    context.firstByteSent && RETRYABLE.has(outcome.code) ? 'answer_broken' : outcome.code;
  return { ...outcome, code, run };
}
