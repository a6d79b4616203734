/** Sends a request to a target, and retries or hedges it at another one where that is safe. */
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
import { DispatchState, type DispatchRequest, type OpenResponse } from './dispatch';
import { createNoTargetFailure, explainLeaving } from './no-target';
import type { OutgoingAttempt } from './outgoing-attempt';

/** The agents, policies and limits of a dispatcher. */
export interface RequestDispatcherOptions {
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

/** How long a request waits for links that are being reopened. */
const RECONNECT_WAIT_MS: Millis = 750;

const RECONNECT_POLL_INTERVAL_MS: Millis = 20;

/** How long an idempotent request waits for a lost link before a second attempt is sent. */
const LINK_DOWN_RETRY_DELAY_MS: Millis = 250;

/** `ended` means that the request was cancelled or its deadline has passed. */
type WaitOutcome = 'event' | 'second-attempt-due' | 'ended';

/** Dispatches requests to targets through the agents of the pool. */
export class RequestDispatcher {
  readonly #options: RequestDispatcherOptions;

  /** @param options - the agents and the policies */
  constructor(options: RequestDispatcherOptions) {
    this.#options = options;
  }

  /**
   * Sends a request and waits until the head of a response arrives.
   *
   * @param req - the request
   * @returns the response, or the failure to report to the caller; its `run` says whether any
   *   attempt may have run
   */
  async dispatch(req: DispatchRequest): Promise<Result<OpenResponse, Failure>> {
    const state = new DispatchState(req);
    this.#options.retryBudget.recordFirstAttempt(req.service);
    for (;;) {
      const started = await this.#startAfterReconnect(state);
      if (started.isErr()) return err(this.#explain(state, started.error));
      const outcome = await this.#waitForHead(state);
      if (outcome.isOk()) return outcome;
      const failure = this.#decideRetry(state, outcome.error);
      if (failure !== undefined) return err(this.#explain(state, failure));
    }
  }

  /**
   * Takes a retry from the service's retry budget, and counts it.
   *
   * @param service - the service
   * @param reason - why the last attempt failed
   * @returns false when the budget is exhausted
   */
  tryRetry(service: ServiceId, reason: CodeName): boolean {
    if (!this.#options.retryBudget.tryTake(service)) return false;
    this.#options.metrics.countRetry(reason);
    return true;
  }

  // After a pause of this process all links are down for a moment, and are reopened together.
  async #startAfterReconnect(state: DispatchState): Promise<Result<OutgoingAttempt, Failure>> {
    const { clock, pool } = this.#options;
    const { service, deadline, signal } = state.req;
    const until = Math.min(deadline, clock.mono() + RECONNECT_WAIT_MS);
    for (;;) {
      const started = this.#startAttempt(state);
      const shouldWait = !signal.aborted && clock.mono() < until && pool.isReconnecting(service);
      if (started.isOk() || !shouldWait) return started;
      await clock.sleep(RECONNECT_POLL_INTERVAL_MS);
    }
  }

  #startAttempt(state: DispatchState): Result<OutgoingAttempt, Failure> {
    const { req } = state;
    for (;;) {
      const target = this.#chooseTarget(state);
      if (target === undefined) return err(createNoTargetFailure(state));
      state.triedTargets.add(target);
      const attempt = this.#sendAttempt(state, target);
      if (attempt !== undefined) {
        state.addAttempt(attempt);
        this.#options.pool.ejectorOf(req.service).recordSent(target);
        req.onAttemptSent?.(target);
        return ok(attempt);
      }
    }
  }

  #chooseTarget({ req, triedTargets }: DispatchState): TargetId | undefined {
    const targets = this.#options.pool.listTargets(req.service);
    if (req.idempotencyKey !== '') return chooseKeyTarget(req, targets, triedTargets);
    const { affinityKey } = req;
    const chosen = this.#options.targetPolicy.choose(
      {
        service: req.service,
        zone: this.#options.zone,
        costTokens: req.costTokens,
        exclude: triedTargets,
        ...(affinityKey !== undefined && { affinityKey }),
      },
      targets,
    );
    return isSome(chosen) ? chosen.value.id : undefined;
  }

  #sendAttempt({ req }: DispatchState, target: TargetId): OutgoingAttempt | undefined {
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
    return this.#options.pool.findClient(req.service, target)?.startAttempt(run, req.body);
  }

  async #waitForHead(state: DispatchState): Promise<Result<OpenResponse, Failure>> {
    const { req } = state;
    const startedAt = this.#options.clock.mono();
    const hedgeDelay = this.#getHedgeDelay(state);
    state.scheduleSecondAttempt(hedgeDelay === undefined ? undefined : startedAt + hedgeDelay);
    for (;;) {
      const waited = await this.#waitForEvent(state);
      if (waited === 'ended') return err(this.#cancelAttempts(state));
      if (waited === 'second-attempt-due') {
        this.#startSecondAttempt(state);
        continue;
      }
      const outcome = await this.#handleEvent(state);
      if (outcome?.isOk()) {
        this.#options.hedgePolicy.recordLatency(
          req.service,
          this.#options.clock.mono() - startedAt,
        );
      }
      if (outcome !== undefined) return outcome;
    }
  }

  #getHedgeDelay({ req }: DispatchState): Millis | undefined {
    const delay = this.#options.hedgePolicy.delayFor({
      service: req.service,
      idempotent: req.isIdempotent && req.isHedgeable,
      remainingMs: req.deadline - this.#options.clock.mono(),
    });
    return isNone(delay) ? undefined : delay.value;
  }

  #startSecondAttempt(state: DispatchState): void {
    const { service } = state.req;
    const hasLinkDown = state.openAttempts.some((attempt) => attempt.isLinkDown);
    const mayStart = hasLinkDown
      ? this.tryRetry(service, 'outcome_unknown')
      : this.#options.hedgePolicy.tryStart(service);
    if (mayStart && this.#startAttempt(state).isOk() && !hasLinkDown)
      this.#options.metrics.count('hedged');
    // An exhausted retry budget may allow an attempt before the link is reopened.
    const isRepeated = hasLinkDown && !mayStart;
    state.scheduleSecondAttempt(
      isRepeated ? this.#options.clock.mono() + LINK_DOWN_RETRY_DELAY_MS : undefined,
    );
  }

  async #waitForEvent(state: DispatchState): Promise<WaitOutcome> {
    const { req, openAttempts } = state;
    if (req.signal.aborted) return 'ended';
    if (openAttempts.some((attempt) => attempt.hasEvent)) return 'event';
    const { secondAttemptAt = req.deadline } = state;
    const hasSecondAttempt = secondAttemptAt < req.deadline;
    const timeoutMs = Math.max(
      0,
      (hasSecondAttempt ? secondAttemptAt : req.deadline) - this.#options.clock.mono(),
    );
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => done(hasSecondAttempt ? 'second-attempt-due' : 'ended'),
        timeoutMs,
      );
      const onAbort = (): void => done('ended');
      function done(result: WaitOutcome): void {
        clearTimeout(timer);
        req.signal.removeEventListener('abort', onAbort);
        resolve(result);
      }
      req.signal.addEventListener('abort', onAbort);
      openAttempts.forEach((attempt) => {
        void attempt.waitForEvent().then(() => done('event'));
      });
    });
  }

  /** Handles one event of an attempt. Returns undefined when the request keeps waiting. */
  async #handleEvent(state: DispatchState): Promise<Result<OpenResponse, Failure> | undefined> {
    const attempt = state.openAttempts.find((open) => open.hasEvent);
    if (attempt === undefined) return undefined;
    const event = await attempt.nextEvent();
    switch (event.kind) {
      case 'head':
        this.#cancelOthers(state, attempt);
        this.#recordOutcome(state, attempt, 'answered');
        return ok({ status: event.status, headers: event.headers, attempt });
      case 'failed':
        return this.#handleFailure(state, attempt, event.failure);
      case 'link-down':
        if (state.req.isIdempotent) {
          state.scheduleSecondAttempt(this.#options.clock.mono() + LINK_DOWN_RETRY_DELAY_MS);
        }
        return undefined;
      default:
        return undefined;
    }
  }

  #handleFailure(
    state: DispatchState,
    attempt: OutgoingAttempt,
    failure: Failure,
  ): Result<OpenResponse, Failure> | undefined {
    remove(state.openAttempts, attempt);
    attempt.acknowledge(false);
    state.recordFailure(failure);
    if (SAME_TARGET_RETRY_CODES.has(failure.code)) state.triedTargets.delete(attempt.target);
    if (isTargetFault(failure.code)) this.#recordOutcome(state, attempt, 'failed');
    return state.openAttempts.length > 0 ? undefined : err(failure);
  }

  /** Returns the failure to report, or undefined when another attempt is made. */
  #decideRetry(state: DispatchState, outcome: Failure): Failure | undefined {
    const { req } = state;
    if (state.attemptCount === 0 || req.signal.aborted) return this.#addRunState(state, outcome);
    const decision = this.#options.retryPolicy.decide(outcome, {
      service: req.service,
      idempotent: req.isIdempotent,
      attempts: state.attemptCount,
      remainingMs: req.deadline - this.#options.clock.mono(),
      firstByteSent: false,
      // An attempt that the agent could still revoke has not failed yet.
      revokeSent: true,
      earlierAttemptMayHaveRun: state.mayHaveRun,
    });
    if (decision.action === 'give-up') return decision.failure;
    this.#options.metrics.countRetry(outcome.code);
    return undefined;
  }

  /** Cancels every open attempt. Returns the failure: cancelled, or past the deadline. */
  #cancelAttempts(state: DispatchState): Failure {
    const isCancelled = state.req.signal.aborted;
    this.#cancelOthers(state, undefined);
    const run = state.attemptCount > 0 ? 'may-have-run' : 'not-run';
    return createFailure(isCancelled ? 'cancelled' : 'deadline_exceeded', { run });
  }

  #addRunState(state: DispatchState, failure: Failure): Failure {
    return state.mayHaveRun ? { ...failure, run: 'may-have-run' } : failure;
  }

  #explain(state: DispatchState, failure: Failure): Failure {
    return explainLeaving(this.#addRunState(state, failure), () =>
      this.#options.pool.listTargets(state.req.service),
    );
  }

  #cancelOthers(state: DispatchState, kept: OutgoingAttempt | undefined): void {
    state.openAttempts.filter((attempt) => attempt !== kept).forEach((attempt) => attempt.cancel());
    state.openAttempts.splice(0);
  }

  #recordOutcome(
    { req }: DispatchState,
    attempt: OutgoingAttempt,
    outcome: 'answered' | 'failed' | 'silent',
  ): void {
    this.#options.pool.ejectorOf(req.service).recordOutcome(attempt.target, outcome);
  }
}

// Rendezvous hashing sends all requests with one idempotency key to the same target, whose agent
// keeps the response to the first of them.
function chooseKeyTarget(
  req: DispatchRequest,
  targets: readonly TargetView[],
  triedTargets: ReadonlySet<TargetId>,
): TargetId | undefined {
  const key = new RendezvousKey(`${req.team}/${req.idempotencyKey}`);
  const ranked = [...targets].sort((a, b) => key.score(b.id) - key.score(a.id));
  const chosen = ranked.find((target) => !target.leaving);
  return chosen !== undefined && chosen.ready && !triedTargets.has(chosen.id)
    ? chosen.id
    : undefined;
}

// Failures that count against the target in outlier ejection.
const TARGET_FAULT_CODES: ReadonlySet<CodeName> = new Set<CodeName>([
  'target_down',
  'outcome_unknown',
  'answer_broken',
]);

// Failures after which the same target may be tried again: it did not run this attempt, but can
// run another one. A leaving target is left out until it has a new incarnation.
const SAME_TARGET_RETRY_CODES: ReadonlySet<CodeName> = new Set<CodeName>([
  'attempt_revoked',
  'incarnation_stale',
  'config_stale',
  'target_leaving',
]);

function isTargetFault(code: CodeName): boolean {
  return TARGET_FAULT_CODES.has(code);
}

function remove(open: OutgoingAttempt[], attempt: OutgoingAttempt): void {
  const index = open.indexOf(attempt);
  if (index >= 0) open.splice(index, 1);
}
