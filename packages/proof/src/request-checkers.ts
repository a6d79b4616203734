/** Checkers of the history of requests, one for each invariant. */
import type { CallRecord } from './history';

/** An event that a fake target recorded. */
export interface TargetEvent {
  /** What happened; `effect` when a non-idempotent request took effect. */
  readonly op: string;
  /** The `x-request-id` that arrived: the caller's id, `~`, and a suffix of the entry. */
  readonly requestId?: string;
  readonly headers?: Readonly<Record<string, unknown>>;
  readonly url?: string;
}

/** What the checkers of a run read. */
export interface RequestEvidence {
  readonly calls: readonly CallRecord[];
  readonly targetEvents: readonly TargetEvent[];
  /** The secrets of the callers' keys. */
  readonly secrets: readonly string[];
}

/** A violated invariant. */
export interface Violation {
  /** The invariant in a few words. */
  readonly promise: string;
  /** The id of the request, or what else the invariant was checked for. */
  readonly request: string;
  readonly detail: string;
}

/** Checks one invariant over a whole run. */
export type RequestChecker = (evidence: RequestEvidence) => Violation[];

const HTTP_OK = 200;

/** The checkers by the invariants that they check. */
export const REQUEST_CHECKERS: Readonly<Record<string, RequestChecker>> = {
  'a non-idempotent request runs at most once': checkAtMostOnce,
  'a request that was refused with not-run did not run': checkNotRunRefusals,
  'a caller gets the complete response to its own request': checkResponses,
  'an order with a successful response took effect': checkSuccessfulOrders,
  "no target sees a caller's key": checkKeySecrets,
  'every refusal carries a result code': checkResultCodes,
};

/**
 * Runs every checker.
 *
 * @param evidence - the run
 * @returns the violations
 */
export function checkRequests(evidence: RequestEvidence): Violation[] {
  return Object.values(REQUEST_CHECKERS).flatMap((check) => check(evidence));
}

function checkAtMostOnce({ calls, targetEvents }: RequestEvidence): Violation[] {
  const effects = countEffects(targetEvents);
  return calls
    .filter((call) => (effects.get(call.id) ?? 0) > 1)
    .map((call) => createViolation('runs at most once', call, `${effects.get(call.id)} effects`));
}

function checkNotRunRefusals({ calls, targetEvents }: RequestEvidence): Violation[] {
  const effects = countEffects(targetEvents);
  return calls
    .filter((call) => call.run === 'not-run' && effects.has(call.id))
    .map((call) =>
      createViolation(
        'not-run means that it did not run',
        call,
        `refused with code ${call.code}, but it took effect`,
      ),
    );
}

function checkResponses({ calls }: RequestEvidence): Violation[] {
  return calls
    .filter((call) => call.status === HTTP_OK && call.isClean && !call.isRight)
    .map((call) =>
      createViolation(
        'complete response to its own request',
        call,
        'a complete response has other content than expected',
      ),
    );
}

function checkSuccessfulOrders({ calls, targetEvents }: RequestEvidence): Violation[] {
  const effects = countEffects(targetEvents);
  return calls
    .filter((call) => call.kind === 'order' && call.isRight && !effects.has(call.id))
    .map((call) =>
      createViolation(
        'a successful order took effect',
        call,
        'successful response without an effect',
      ),
    );
}

function checkKeySecrets({ targetEvents, secrets }: RequestEvidence): Violation[] {
  return targetEvents
    .filter((event) => {
      const text = JSON.stringify(event);
      return secrets.some((secret) => text.includes(secret));
    })
    .map((event) => ({
      promise: "no target sees a caller's key",
      request: event.requestId ?? '',
      detail: "the secret of a caller's key reached a target",
    }));
}

function checkResultCodes({ calls }: RequestEvidence): Violation[] {
  return calls
    .filter((call) => call.status >= 400 && call.isClean && call.code === undefined)
    .map((call) =>
      createViolation(
        'every refusal carries a result code',
        call,
        `status ${call.status} without a result code`,
      ),
    );
}

/** Counts the effects of each request by the id that its caller gave it. */
function countEffects(targetEvents: readonly TargetEvent[]): Map<string, number> {
  const effects = new Map<string, number>();
  targetEvents
    .filter((event) => event.op === 'effect')
    .forEach((event) => {
      const id = (event.requestId ?? '').split('~')[0] ?? '';
      effects.set(id, (effects.get(id) ?? 0) + 1);
    });
  return effects;
}

function createViolation(invariant: string, call: CallRecord, detail: string): Violation {
  return { promise: invariant, request: call.id, detail };
}
