/** The failure of a request that no target can take. */
import { type CodeName, type Failure, type Millis, createFailure } from '@hibiscushill/base';
import type { TargetView } from '@hibiscushill/routing';

import type { DispatchState } from './dispatch';

const NO_TARGET_RETRY_AFTER_MS: Millis = 500;

// The list that shows the replacements is read every 500 ms, and their links are opened after it.
const TARGETS_LEAVING_RETRY_AFTER_MS: Millis = 1_000;

// Failures that mean no more than that all targets are leaving, if they are.
const CODES_OF_LEAVING: ReadonlySet<CodeName> = new Set<CodeName>(['no_target', 'target_leaving']);

/**
 * Creates the failure of a request for which no target was found.
 *
 * @param state - the request's state
 * @returns the failure of its last attempt, or `no_target` without one
 */
export function createNoTargetFailure({ req, attemptCount, lastFailure }: DispatchState): Failure {
  if (lastFailure !== undefined) return lastFailure;
  // The target that may have run an earlier request with this idempotency key is not available.
  const run = req.idempotencyKey === '' ? 'not-run' : 'may-have-run';
  return createFailure('no_target', {
    run,
    detail: `number of attempts made: ${attemptCount}`,
    retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
  });
}

/**
 * Names the cause of a failure when all targets of the service are leaving.
 *
 * @param failure - the failure that would be reported to the caller
 * @param listTargets - lists the service's targets
 * @returns `targets_leaving` with the same run state, or the same failure
 */
export function explainLeaving(
  failure: Failure,
  listTargets: () => readonly TargetView[],
): Failure {
  if (!CODES_OF_LEAVING.has(failure.code)) return failure;
  const targets = listTargets();
  if (targets.length === 0 || targets.some(({ leaving }) => !leaving)) return failure;
  const { run, detail } = failure;
  return createFailure('targets_leaving', {
    run,
    detail,
    retryAfterMs: TARGETS_LEAVING_RETRY_AFTER_MS,
  });
}
