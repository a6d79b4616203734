/** Brings a request to a target, and to another one where that is safe. */
import {
  type Clock,
  type CodeName,
  type Failure,
  type Metrics,
  type Millis,
  type ServiceId,
  type TargetId,
  type ZoneId,
  type AttemptId,
  createFailure,
  createId,
} from '@hibiscushill/base';
import {
  type HedgePolicy,
  RendezvousKey,
  type RetryBudget,
  type RetryPolicy,
  type TargetPolicy,
  type TargetView,
} from '@hibiscushill/routing';
import { isNone, isSome } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import type { AgentPool } from './agent-pool';
import { Dispatch, type DispatchRequest, type OpenAnswer } from './dispatch';
import type { OutgoingAttempt } from './outgoing-attempt';

/** What a dispatcher decides with. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly pool: AgentPool;
  readonly zone: ZoneId;
  readonly targetPolicy: TargetPolicy;
  readonly retryPolicy: RetryPolicy;
  readonly retryBudget: RetryBudget;
  readonly hedgePolicy: HedgePolicy;
  readonly configVersion: () => number;
}

const NO_TARGET_RETRY_MS: Millis = 500;

/** How long a request waits for links that are being opened, in milliseconds. */
const LINK_WAIT_MS: Millis = 750;

const LINK_POLL_MS: Millis = 20;

/** How long idempotent work waits for a broken link before it goes elsewhere too. */
const RESCUE_AFTER_MS: Millis = 250;

type Waited = 'event' | 'second-due' | 'ended';

/** Sends requests to targets. */
export class RequestDispatcher {
  readonly #options: DispatcherOptions;

  /** @param options - the pool and the policies */
  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Runs a request until the head of an answer arrives.
   *
   * @param req - the request
   * @returns the answer, or the failure to tell the caller, with a true `run`
   */
  async dispatch(req: DispatchRequest): Promise<Result<OpenAnswer, Failure>> {
    const state = new Dispatch(req);
    this.#options.retryBudget.recordFirstTry(req.service);
    for (;;) {
      const started = await this.#startWhenPossible(state);
      if (started.isErr()) return err(this.#describe(state, started.error));
      const outcome = await this.#awaitHead(state);
      if (outcome.isOk()) return outcome;
      const failure = this.#decide(state, outcome.error);
      if (failure !== undefined) return err(failure);
    }
  }

  /**
   * Takes a retry from the budget, for a caller that repeats work itself.
   *
   * @param service - the service
   * @param reason - how the last try ended
   * @returns false when there is none left
   */
  tryRetry(service: ServiceId, reason: CodeName): boolean {
    if (!this.#options.retryBudget.tryTake(service)) return false;
    this.#options.metrics.countRetry(reason);
    return true;
  }

  // After a pause all links are down for a moment, and come back together.
  async #startWhenPossible(state: Dispatch): Promise<Result<OutgoingAttempt, Failure>> {
    const { clock, pool } = this.#options;
    const { service, deadline, signal } = state.req;
    const until = Math.min(deadline, clock.mono() + LINK_WAIT_MS);
    for (;;) {
      const started = this.#start(state);
      const isWorthwhile = !signal.aborted && clock.mono() < until && pool.isReconnecting(service);
      if (started.isOk() || !isWorthwhile) return started;
      await clock.sleep(LINK_POLL_MS);
    }
  }

  #start(state: Dispatch): Result<OutgoingAttempt, Failure> {
    const { req } = state;
    for (;;) {
      const target = this.#choose(state);
      if (target === undefined) return err(this.#createNoTarget(state));
      state.tried.add(target);
      const attempt = this.#open(state, target);
      if (attempt !== undefined) {
        state.add(attempt);
        this.#options.pool.ejector(req.service).recordSent(target);
        req.onTarget?.(target);
        return ok(attempt);
      }
    }
  }

  #choose({ req, tried }: Dispatch): TargetId | undefined {
    const targets = this.#options.pool.targets(req.service);
    if (req.idempotencyKey !== '') return chooseHome(req, targets, tried);
    const { affinityKey } = req;
    const chosen = this.#options.targetPolicy.choose(
      {
        service: req.service,
        zone: this.#options.zone,
        costTokens: req.costTokens,
        exclude: tried,
        ...(affinityKey !== undefined && { affinityKey }),
      },
      targets,
    );
    return isSome(chosen) ? chosen.value.id : undefined;
  }

  #open({ req }: Dispatch, target: TargetId): OutgoingAttempt | undefined {
    const run = {
      attempt: createId<AttemptId>(),
      request: req.request,
      service: req.service,
      team: req.team,
      key: req.key,
      configVersion: this.#options.configVersion(),
      method: req.method,
      path: req.path,
      headers: [...req.headers],
      hasBody: req.body.length > 0,
      idempotent: req.isIdempotent,
      deadlineMs: Math.ceil(req.deadline - this.#options.clock.mono()),
      priority: req.priority,
      costTokens: Math.ceil(req.costTokens),
      idempotencyKey: req.idempotencyKey,
      creditBytes: 0,
      publicRoute: req.isPublic,
      bodyComplete: true,
      trainer: req.trainer ?? '',
      retain: req.retain || req.idempotencyKey !== '',
      billable: req.isBillable,
      model: req.isModel,
    };
    return this.#options.pool.find(req.service, target)?.open(run, req.body);
  }

  async #awaitHead(state: Dispatch): Promise<Result<OpenAnswer, Failure>> {
    const { req } = state;
    const startedAt = this.#options.clock.mono();
    const hedgeDelay = this.#hedgeDelay(state);
    state.scheduleSecond(hedgeDelay === undefined ? undefined : startedAt + hedgeDelay);
    for (;;) {
      const waited = await this.#wait(state);
      if (waited === 'ended') return err(this.#end(state));
      if (waited === 'second-due') {
        this.#startSecond(state);
        continue;
      }
      const outcome = await this.#takeEvent(state);
      if (outcome?.isOk()) {
        this.#options.hedgePolicy.recordLatency(
          req.service,
          this.#options.clock.mono() - startedAt,
        );
      }
      if (outcome !== undefined) return outcome;
    }
  }

  #hedgeDelay({ req }: Dispatch): Millis | undefined {
    const delay = this.#options.hedgePolicy.delayFor({
      service: req.service,
      idempotent: req.isIdempotent && req.mayHedge,
      remainingMs: req.deadline - this.#options.clock.mono(),
    });
    return isNone(delay) ? undefined : delay.value;
  }

  #startSecond(state: Dispatch): void {
    const { service } = state.req;
    const isRescue = state.open.some((attempt) => attempt.isDown);
    const mayStart = isRescue
      ? this.tryRetry(service, 'outcome_unknown')
      : this.#options.hedgePolicy.tryStart(service);
    if (mayStart && this.#start(state).isOk() && !isRescue) this.#options.metrics.count('hedged');
    // The budget may have room again before the link is back.
    const isLate = isRescue && !mayStart;
    state.scheduleSecond(isLate ? this.#options.clock.mono() + RESCUE_AFTER_MS : undefined);
  }

  async #wait(state: Dispatch): Promise<Waited> {
    const { req, open } = state;
    if (req.signal.aborted) return 'ended';
    if (open.some((attempt) => attempt.hasEvent)) return 'event';
    const { secondAt = req.deadline } = state;
    const isSecond = secondAt < req.deadline;
    const timeoutMs = Math.max(
      0,
      (isSecond ? secondAt : req.deadline) - this.#options.clock.mono(),
    );
    return new Promise((resolve) => {
      const timer = setTimeout(() => done(isSecond ? 'second-due' : 'ended'), timeoutMs);
      const onAbort = (): void => done('ended');
      function done(result: Waited): void {
        clearTimeout(timer);
        req.signal.removeEventListener('abort', onAbort);
        resolve(result);
      }
      req.signal.addEventListener('abort', onAbort);
      open.forEach((attempt) => {
        void attempt.ready().then(() => done('event'));
      });
    });
  }

  /** Takes one event; undefined when the request goes on waiting. */
  async #takeEvent(state: Dispatch): Promise<Result<OpenAnswer, Failure> | undefined> {
    const attempt = state.open.find((open) => open.hasEvent);
    if (attempt === undefined) return undefined;
    const event = await attempt.next();
    switch (event.kind) {
      case 'head':
        this.#cancelOthers(state, attempt);
        this.#record(state, attempt, 'answered');
        return ok({ status: event.status, headers: event.headers, attempt });
      case 'failed':
        return this.#takeFailure(state, attempt, event.failure);
      case 'down':
        if (state.req.isIdempotent) {
          state.scheduleSecond(this.#options.clock.mono() + RESCUE_AFTER_MS);
        }
        return undefined;
      default:
        return undefined;
    }
  }

  #takeFailure(
    state: Dispatch,
    attempt: OutgoingAttempt,
    failure: Failure,
  ): Result<OpenAnswer, Failure> | undefined {
    remove(state.open, attempt);
    attempt.acknowledge(false);
    state.noteFailure(failure);
    if (MAY_COME_BACK.has(failure.code)) state.tried.delete(attempt.target);
    if (isTargetFault(failure.code)) this.#record(state, attempt, 'failed');
    return state.open.length > 0 ? undefined : err(failure);
  }

  /** The failure to answer with, or undefined for another attempt. */
  #decide(state: Dispatch, outcome: Failure): Failure | undefined {
    const { req } = state;
    if (state.attempts === 0 || req.signal.aborted) return this.#describe(state, outcome);
    const decision = this.#options.retryPolicy.decide(outcome, {
      service: req.service,
      idempotent: req.isIdempotent,
      attempts: state.attempts,
      remainingMs: req.deadline - this.#options.clock.mono(),
      firstByteSent: false,
      // An attempt that the agent could still revoke has not failed yet.
      revokeTried: true,
      earlierMayHaveRun: state.mayHaveRun,
    });
    if (decision.action === 'give-up') return decision.failure;
    this.#options.metrics.countRetry(outcome.code);
    return undefined;
  }

  #end(state: Dispatch): Failure {
    const isCancelled = state.req.signal.aborted;
    this.#cancelOthers(state, undefined);
    const run = state.attempts > 0 ? 'may-have-run' : 'not-run';
    return createFailure(isCancelled ? 'cancelled' : 'deadline_exceeded', { run });
  }

  #describe(state: Dispatch, failure: Failure): Failure {
    return state.mayHaveRun ? { ...failure, run: 'may-have-run' } : failure;
  }

  #cancelOthers(state: Dispatch, kept: OutgoingAttempt | undefined): void {
    state.open.filter((attempt) => attempt !== kept).forEach((attempt) => attempt.cancel());
    state.open.splice(0);
  }

  #record(
    { req }: Dispatch,
    attempt: OutgoingAttempt,
    outcome: 'answered' | 'failed' | 'silent',
  ): void {
    this.#options.pool.ejector(req.service).recordOutcome(attempt.target, outcome);
  }

  #createNoTarget(state: Dispatch): Failure {
    if (state.lastFailure !== undefined) return state.lastFailure;
    // The target that may have run the key's first request can't be asked.
    const run = state.req.idempotencyKey === '' ? 'not-run' : 'may-have-run';
    return createFailure('no_target', {
      run,
      detail: `${state.attempts} tried`,
      retryAfterMs: NO_TARGET_RETRY_MS,
    });
  }
}

// Every request with the same idempotency key goes to the same target, which remembers the first.
function chooseHome(
  req: DispatchRequest,
  targets: readonly TargetView[],
  tried: ReadonlySet<TargetId>,
): TargetId | undefined {
  const key = new RendezvousKey(`${req.team}/${req.idempotencyKey}`);
  const ranked = [...targets].sort((a, b) => key.score(b.id) - key.score(a.id));
  const home = ranked.find((target) => !target.leaving);
  return home !== undefined && home.ready && !tried.has(home.id) ? home.id : undefined;
}

const TARGET_FAULTS: ReadonlySet<CodeName> = new Set<CodeName>([
  'target_down',
  'outcome_unknown',
  'answer_broken',
]);

// The target lost the attempt, not the ability to run it.
const MAY_COME_BACK: ReadonlySet<CodeName> = new Set<CodeName>([
  'attempt_revoked',
  'incarnation_stale',
  'config_stale',
]);

function isTargetFault(code: CodeName): boolean {
  return TARGET_FAULTS.has(code);
}

function remove(open: OutgoingAttempt[], attempt: OutgoingAttempt): void {
  const index = open.indexOf(attempt);
  if (index >= 0) open.splice(index, 1);
}
