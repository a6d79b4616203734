/** Checkers of request histories, one for each promise. */
import type { CallRecord } from './history';

/** Something that a stand-in saw. */
export interface BackendEvent {
  readonly op: string;
  readonly requestId?: string;
  readonly headers?: Readonly<Record<string, unknown>>;
  readonly url?: string;
}

/** What a checker reads. */
export interface Evidence {
  readonly calls: readonly CallRecord[];
  readonly backends: readonly BackendEvent[];
  /** The secrets of every caller's key. */
  readonly secrets: readonly string[];
}

/** A promise that was broken, with the request. */
export interface Violation {
  readonly promise: string;
  readonly request: string;
  readonly detail: string;
}

/** Checks one promise over a whole run. */
export type Checker = (evidence: Evidence) => Violation[];

const HTTP_OK = 200;

/** Every checker of requests. */
export const REQUEST_CHECKERS: Readonly<Record<string, Checker>> = {
  'a non-idempotent request runs at most once': checkRunsOnce,
  'a refusal that says not-run is true': checkNotRun,
  'a caller gets the whole answer to its own request': checkAnswers,
  'a request that ran and was answered is the one that took effect': checkEffects,
  "no target sees a caller's key": checkSecrets,
  'every refusal is numbered': checkNumbers,
};

/**
 * Runs every checker.
 *
 * @param evidence - the run
 * @returns what was broken
 */
export function checkRequests(evidence: Evidence): Violation[] {
  return Object.values(REQUEST_CHECKERS).flatMap((check) => check(evidence));
}

function checkRunsOnce({ calls, backends }: Evidence): Violation[] {
  const effects = countEffects(backends);
  return calls
    .filter((call) => (effects.get(call.id) ?? 0) > 1)
    .map((call) => violation('runs at most once', call, `${effects.get(call.id)} effects`));
}

function checkNotRun({ calls, backends }: Evidence): Violation[] {
  const effects = countEffects(backends);
  return calls
    .filter((call) => call.run === 'not-run' && effects.has(call.id))
    .map((call) => violation('not-run is true', call, `code ${call.code} but it took effect`));
}

function checkAnswers({ calls }: Evidence): Violation[] {
  return calls
    .filter((call) => call.status === HTTP_OK && call.isClean && !call.isRight)
    .map((call) => violation('whole and own answer', call, 'a clean answer is wrong'));
}

function checkEffects({ calls, backends }: Evidence): Violation[] {
  const effects = countEffects(backends);
  return calls
    .filter((call) => call.kind === 'order' && call.isRight && !effects.has(call.id))
    .map((call) => violation('answered means done', call, 'answered without an effect'));
}

function checkSecrets({ backends, secrets }: Evidence): Violation[] {
  return backends
    .filter((event) => {
      const text = JSON.stringify(event);
      return secrets.some((secret) => text.includes(secret));
    })
    .map((event) => ({
      promise: 'no target sees a key',
      request: event.requestId ?? '',
      detail: 'a secret reached a target',
    }));
}

function checkNumbers({ calls }: Evidence): Violation[] {
  return calls
    .filter((call) => call.status >= 400 && call.isClean && call.code === undefined)
    .map((call) => violation('numbered refusals', call, `status ${call.status} without a code`));
}

function countEffects(backends: readonly BackendEvent[]): Map<string, number> {
  const effects = new Map<string, number>();
  backends
    .filter((event) => event.op === 'effect')
    .forEach((event) => {
      const id = (event.requestId ?? '').split('~')[0] ?? '';
      effects.set(id, (effects.get(id) ?? 0) + 1);
    });
  return effects;
}

function violation(promise: string, call: CallRecord, detail: string): Violation {
  return { promise, request: call.id, detail };
}
