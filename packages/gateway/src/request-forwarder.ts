/** Forwarding of requests and streams to targets, with retries and hedging. */
import {
  type Clock,
  type CodeName,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type RequestId,
  type ServiceId,
  type TargetId,
  type TeamId,
} from '@hibiscushill/base';
import {
  AllowedRegions,
  type ByteBudget,
  type RunPermit,
  chooseServiceAtRandom,
  jitterRetryAfter,
  listServing,
} from '@hibiscushill/routing';

import { Attempt, type AttemptEnd, type AttemptResult, type CompleteResponse } from './attempt';
import type { GatewayAnswer } from './caller-port';
import { createGatewayAnswer } from './gateway-answer';
import { type HedgeTargets, HedgeTimer, type ListTargets } from './hedge-timer';
import { findColdWait, findTurnInterval, reserveTurn } from './limited-turns';
import { ResumableStream, type StreamRefusal, hasResumableStreams } from './resumable-stream';
import { ScreenedRequest } from './screened-request';
import type { StreamExchange } from './stream-exchange';
import type { SuspectExchange } from './suspect-exchange';
import {
  type TargetDirectory,
  type TargetRegistration,
  getIncarnationKey,
} from './target-directory';
import type { ServingRoute } from './serving-config';
import type { TargetChooser } from './target-chooser';
import type { TargetPacer } from './target-pacer';
import type { TargetResponseHead, TargetClient } from './target-port';
import type { SendKind, TargetLimiter } from './target-limiter';
import type { TargetStats } from './target-stats';

// Attempts beyond the runs that a route allows, for targets that refuse without running a request.
const EXTRA_ATTEMPTS = 4;
// With less time left, no target could respond in time.
const MIN_REMAINING_MS = 5;
// A service without a free slot is likely to have one a few average latencies later.
const NO_TARGET_RETRY_MS = 120;
// Operators evacuate a zone for seconds at least.
const EVACUATED_RETRY_MS = 1_000;
// A target in an allowed region would have to be started.
const REGION_RETRY_MS = 1_000;
// Several suspected requests may wait for their trials, which each take some average latencies.
const TRIAL_RETRY_MS = 300;
// A retry is likely to reach another process, which may be able to serve it at once.
const OTHER_PROCESS_RETRY_MS = 40;

const BROKEN_RUNS = 'the connections of targets broke while they ran the request';

// Scoring calls leave these of a target's slots to callers' requests.
const SLOTS_FOR_CALLERS = 1;
// A request that gets its turn at a limited target with less time left isn't likely to be answered.
const MIN_RUN_MS = 50;
// A target may name another limit meanwhile.
const MAX_TURN_RETRY_MS = 2_000;

/** An authorized request to forward. */
export interface ForwardRequest {
  readonly id: RequestId;
  readonly route: ServingRoute;
  readonly team: TeamId | undefined;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly endsAt: MonoTime;
  readonly resumeAfter?: number;
  /** The request that brought the first event of the resumed stream. */
  readonly resumes?: RequestId;
  /** What it is sent for; a caller's request by default. */
  readonly kind?: SendKind;
  /** How long the first target may take before a second one is tried; by default by the goal. */
  readonly hedgeDelayMs?: Millis;
  /** Finds the regions in which it may run, before each attempt; by default it may run anywhere. */
  readonly findRegions?: () => AllowedRegions;
  /** Checked before each attempt; false once the request's key can no longer be trusted. */
  readonly mayRun: () => boolean;
  /** Checked before each attempt; true once the response is no longer needed. */
  readonly isStopped?: () => boolean;
  /** Aborted when the caller has closed its connection. */
  readonly signal: AbortSignal;
  /** Called for each complete response with status 500. */
  readonly onServerError?: () => void;
}

/** How a forwarded request ended, or that its response is a stream that has begun. */
export type ForwardResult =
  | ({ readonly type: 'answered'; readonly target: TargetId } & CompleteResponse)
  | { readonly type: 'streaming'; readonly attempt: Attempt; readonly head: TargetResponseHead }
  | { readonly type: 'refused'; readonly answer: GatewayAnswer }
  | { readonly type: 'cancelled' };

/** The targets, what is known of them, and how to call them. */
export interface ForwarderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly client: TargetClient;
  readonly directory: TargetDirectory;
  readonly stats: TargetStats;
  readonly limiter: TargetLimiter;
  readonly chooser: TargetChooser;
  /** Bounds what targets get in their ramp-up; without it, nothing does. */
  readonly pacer?: TargetPacer;
  readonly suspects: SuspectExchange;
  readonly streams: StreamExchange;
  /** What responses take until their callers have read them; what is beyond is passed on as it arrives. */
  readonly buffers: ByteBudget;
  /** Called for each attempt that a target may have run. */
  readonly onRun: (req: ForwardRequest, at: MonoTime) => void;
}

/** Sends each request to targets until one responds, as often as its route allows. */
export class RequestForwarder {
  readonly #options: ForwardTaskOptions;

  /** @param options - the targets and how to call them */
  constructor(options: ForwarderOptions) {
    this.#options = { ...options, hedges: new HedgeTimer(options) };
  }

  /**
   * Forwards one request.
   *
   * @param req - the request
   * @returns a target's response, or why there is none
   */
  async forward(req: ForwardRequest): Promise<ForwardResult> {
    return new ForwardTask(this.#options, req).run();
  }

  /** Tells whether a scoring call by a route would be sent at once in some regions. */
  hasRoomForScoring(route: ServingRoute, regions = AllowedRegions.ANYWHERE): boolean {
    const { directory, limiter } = this.#options;
    return route.backends
      .map(({ service }) =>
        directory.listUsable(service).filter(({ zone }) => regions.allows(zone)),
      )
      .flatMap((targets) => listWithRoom(this.#options, targets))
      .some((target) => limiter.countAvailable(target) > 0);
  }
}

/** What happens next to a forwarded request. */
type Step =
  | { readonly type: 'settled'; readonly attempt: Attempt; readonly result: AttemptResult }
  | { readonly type: 'hedge'; readonly targets: HedgeTargets }
  | { readonly type: 'deadline' | 'cancelled' };

type ForwardTaskOptions = ForwarderOptions & {
  readonly hedges: HedgeTimer;
};

/** Forwards one request. */
class ForwardTask {
  readonly #options: ForwardTaskOptions;

  readonly #req: ForwardRequest;

  #service: ServiceId;

  readonly #isRepeatable: boolean;

  /** Undefined for a scoring call: items and their calls are not suspected of crashing targets. */
  readonly #screened: ScreenedRequest | undefined;

  /** Undefined for a request that isn't for a stream that can be resumed. */
  readonly #stream: ResumableStream | undefined;

  readonly #active = new Set<Attempt>();

  readonly #triedTargets = new Set<TargetId>();

  // Attempts that may have run the request.
  #possibleRuns = 0;

  #attempts = 0;

  #isHedged = false;

  /** Why the next attempt was not started, if the request may be what crashes targets. */
  #deniedPermit: RunPermit | undefined;

  #lastReason = 'no target is available';

  #lastErrorResponse: Extract<ForwardResult, { type: 'answered' }> | undefined;

  constructor(options: ForwardTaskOptions, req: ForwardRequest) {
    this.#options = options;
    this.#req = req;
    this.#service = this.#chooseService();
    const { kind, isResumable } = req.route;
    this.#isRepeatable = kind === 'idempotent' || (kind === 'stream' && isResumable);
    if (this.#kind === 'request') this.#screened = new ScreenedRequest(options.suspects, req);
    if (hasResumableStreams(req.route)) {
      this.#stream = new ResumableStream(options.streams, options.directory, req, (target) =>
        this.#regions.allows(target.zone),
      );
    }
  }

  async run(): Promise<ForwardResult> {
    if (this.#stream) {
      const refusal = await this.#stream.prepare(this.#remainingMs());
      if (refusal) return this.#refuseStream(refusal);
      this.#service = this.#stream.origin?.service ?? this.#service;
    }
    this.#options.limiter.recordDemand(this.#service);
    this.#options.hedges.recordRequest(this.#service);
    try {
      for (;;) {
        const isRunning = this.#active.size > 0 || (await this.#startNext());
        if (!isRunning) return this.#endWithoutResponse();
        const step = await this.#waitForStep();
        const result = this.#handleStep(step);
        if (result) return result;
      }
    } finally {
      this.#active.forEach((attempt) => attempt.cancel());
    }
  }

  /** Starts the next attempt; returns false if it can't be started or must not be. */
  async #startNext(): Promise<boolean> {
    const permit = this.#mayStartAttempt() ? (this.#screened?.permit ?? 'free') : 'free';
    const mayRun = permit === 'free' || (permit === 'alone' && (await this.#claimTrial()));
    this.#deniedPermit = mayRun ? undefined : permit;
    if (!mayRun) return false;
    this.#leaveExhaustedService();
    const hasStarted = this.#startAttempt() || (await this.#startAfterWait());
    if (!hasStarted) this.#screened?.endTrial();
    return hasStarted;
  }

  async #claimTrial(): Promise<boolean> {
    this.#options.metrics.count('suspect.claimed');
    return (await this.#screened?.claimTrial(this.#service, this.#remainingMs())) ?? false;
  }

  #remainingMs(): Millis {
    return this.#req.endsAt - this.#options.clock.mono();
  }

  async #waitForStep(): Promise<Step> {
    const { clock } = this.#options;
    // Cancels the other waits once one has ended; otherwise each attempt would add more of them.
    const decided = new AbortController();
    const { signal } = decided;
    const steps: Promise<Step>[] = [...this.#active].map((attempt) =>
      attempt.result.then((result) => ({ type: 'settled', attempt, result }) as const),
    );
    steps.push(clock.sleep(this.#remainingMs(), signal).then(() => ({ type: 'deadline' })));
    const [first] = this.#active;
    if (first && this.#mayHedge()) {
      const listOthers: ListTargets = () => this.#listAvailable('hedge');
      const wait = this.#options.hedges.wait(this.#req, first, listOthers, signal);
      steps.push(wait.then((targets) => ({ type: 'hedge', targets })));
    }
    steps.push(waitForAbort(this.#req.signal, signal).then(() => ({ type: 'cancelled' })));
    const step = await Promise.race(steps);
    decided.abort();
    return step;
  }

  #mayHedge(): boolean {
    const { kind, maxRuns } = this.#req.route;
    return kind === 'idempotent' && !this.#isHedged && this.#possibleRuns < maxRuns;
  }

  #handleStep(step: Step): ForwardResult | undefined {
    switch (step.type) {
      case 'cancelled':
        return { type: 'cancelled' };
      case 'deadline':
        return this.#expire();
      case 'hedge':
        this.#isHedged = true;
        if (!this.#screened?.isSuspect && this.#startAttempt('hedge', step.targets)) {
          this.#options.metrics.count('request.hedged');
        }
        return undefined;
      default:
        this.#active.delete(step.attempt);
        return this.#handleResult(step.attempt, step.result);
    }
  }

  #handleResult(attempt: Attempt, result: AttemptResult): ForwardResult | undefined {
    if (result.type === 'streaming') return this.#handleStream(attempt, result.head);
    if (result.type === 'not-run') {
      this.#possibleRuns -= 1;
      this.#recordFailure(attempt, result.reason);
      return undefined;
    }
    if (result.type === 'lost') {
      this.#recordFailure(attempt, result.reason);
      return undefined;
    }
    const { head } = result;
    const answered = { ...result, target: attempt.call.target.id };
    if (head.status < 500 || !this.#isRepeatable) return answered;
    if (head.status === 500) this.#req.onServerError?.();
    this.#lastErrorResponse = answered;
    this.#recordFailure(attempt, `status ${head.status}`);
    return undefined;
  }

  /**
   * Passes a stream on, or ends it if it is the body of a failure: such a body may have no end, and
   * another target may succeed.
   */
  #handleStream(attempt: Attempt, head: TargetResponseHead): ForwardResult | undefined {
    const isRefusal = head.hasNotRun;
    if (!isRefusal && (head.status < 500 || !this.#isRepeatable)) {
      if (head.isEventStream) this.#stream?.recordBegun(attempt.call.target);
      return { type: 'streaming', attempt, head };
    }
    attempt.cancel();
    if (isRefusal) this.#possibleRuns -= 1;
    if (head.status === 500) this.#req.onServerError?.();
    this.#recordFailure(attempt, `status ${head.status} with a large body`);
    return undefined;
  }

  #recordFailure(attempt: Attempt, reason: string): void {
    this.#lastReason = reason;
    this.#options.metrics.count('attempt.failed');
    this.#options.logger.info('An attempt failed.', {
      id: this.#req.id,
      target: attempt.call.target.id,
      ageMs: Math.round(attempt.ageMs),
      reason,
      runs: this.#possibleRuns,
    });
  }

  /**
   * Sends the request to another target now; returns false if it can't be sent to any. Only a hedge
   * isn't sent because of ramps, since the request runs already.
   *
   * @param among - the targets that it may be sent to; any by default
   */
  #startAttempt(purpose: 'run' | 'hedge' = 'run', among?: HedgeTargets): boolean {
    if (!this.#mayStartAttempt()) return false;
    const { limiter, chooser } = this.#options;
    const targets = this.#listAvailable(purpose).filter(({ id }) => among?.has(id) ?? true);
    const target = chooser.choose(targets, this.#triedTargets);
    if (!target || !limiter.take(target, this.#kind)) return false;
    this.#sendTo(target);
    return true;
  }

  /**
   * Waits for the request's turn at a target that limits its requests, and sends it there. Returns
   * false at once if there is no turn in time.
   */
  async #startAfterWait(): Promise<boolean> {
    if (!this.#mayStartAttempt()) return false;
    const { clock, directory, limiter, metrics, pacer } = this.#options;
    const maxWaitMs = this.#remainingMs() - MIN_RUN_MS;
    const untried = this.#listUntried();
    const withRoom = pacer?.listWithRoom(untried, true) ?? untried;
    const turn =
      reserveTurn(limiter, withRoom, maxWaitMs) ??
      (withRoom === untried ? undefined : reserveTurn(limiter, untried, maxWaitMs));
    if (!turn) return false;
    const { target, waitMs } = turn;
    metrics.count('limit.waited');
    await clock.sleep(waitMs, this.#req.signal);
    const isUsable = this.#listAllowed(directory.listUsable(this.#service)).some(
      ({ id, startedAt }) => id === target.id && startedAt === target.startedAt,
    );
    if (!isUsable || !this.#mayStartAttempt()) {
      limiter.release(target);
      if (this.#startAttempt()) return true;
      // Targets in other zones may limit their requests as well.
      return directory.isEvacuated(target) && this.#startAfterWait();
    }
    limiter.recordSent(target, this.#kind);
    this.#sendTo(target);
    return true;
  }

  #mayStartAttempt(): boolean {
    const { route, signal, isStopped, mayRun } = this.#req;
    if (this.#possibleRuns >= (this.#isRepeatable ? route.maxRuns : 1)) return false;
    if (this.#attempts >= route.maxRuns + EXTRA_ATTEMPTS) return false;
    if (this.#remainingMs() < MIN_REMAINING_MS || signal.aborted || isStopped?.()) return false;
    return mayRun();
  }

  #listUntried(): TargetRegistration[] {
    return this.#listUntriedOf(this.#service);
  }

  #listUntriedOf(service: ServiceId): TargetRegistration[] {
    const targets = this.#listAllowed(this.#options.directory.listUsable(service))
      .filter((target) => !this.#triedTargets.has(target.id))
      .filter((target) => this.#stream?.mayRunAt(target) ?? true);
    return this.#kind === 'scoring' ? listWithRoom(this.#options, targets) : targets;
  }

  /** The regions in which the request may run by the current configuration. */
  get #regions(): AllowedRegions {
    return this.#req.findRegions?.() ?? AllowedRegions.ANYWHERE;
  }

  #listAllowed(targets: readonly TargetRegistration[]): readonly TargetRegistration[] {
    const regions = this.#regions;
    return regions.isRestricted ? targets.filter(({ zone }) => regions.allows(zone)) : targets;
  }

  /** Chooses one of the route's services: of those that can serve or, if none can, that say why. */
  #chooseService(): ServiceId {
    const { directory, random } = this.#options;
    const registered = listServing(
      this.#req.route.backends,
      (service) => this.#listAllowed(directory.listAll(service)).length > 0,
    );
    const serving = listServing(registered, (one) => this.#listUntriedOf(one).length > 0);
    return chooseServiceAtRandom(serving, random.fraction()) ?? ('' as ServiceId);
  }

  /** Goes on at another service of a split route once no target of the present one is left. */
  #leaveExhaustedService(): void {
    const isBound = this.#stream?.origin !== undefined || this.#req.route.backends.length <= 1;
    if (isBound || this.#listUntried().length > 0) return;
    const service = this.#chooseService();
    if (service === this.#service) return;
    this.#service = service;
    this.#options.limiter.recordDemand(service);
    this.#options.metrics.count('request.service_changed');
  }

  #listAvailable(purpose: 'run' | 'hedge'): readonly TargetRegistration[] {
    const { limiter, pacer } = this.#options;
    const available = this.#listUntried().filter((target) => limiter.countAvailable(target) > 0);
    return pacer?.listWithRoom(available, purpose === 'run') ?? available;
  }

  get #kind(): SendKind {
    return this.#req.kind ?? 'request';
  }

  #sendTo(target: TargetRegistration): void {
    const { id, method, path, host, headers, body, team, resumeAfter } = this.#req;
    const { client, stats, clock, pacer, buffers } = this.#options;
    pacer?.recordSent(target);
    this.#triedTargets.add(target.id);
    this.#attempts += 1;
    this.#possibleRuns += 1;
    const attempt = new Attempt(
      { client, stats, clock, buffers, onEnded: (ended, end) => this.#recordEnd(ended, end) },
      {
        target,
        method,
        path,
        host,
        headers,
        body: body.length > 0 ? body : undefined,
        id,
        deadlineMs: this.#remainingMs(),
        team,
        isFresh: !this.#isRepeatable,
        ...(resumeAfter !== undefined && { resumeAfter }),
      },
    );
    const sentAt = clock.mono();
    this.#active.add(attempt);
    void attempt.result.then((result) => {
      if (result.type !== 'not-run') this.#options.onRun(this.#req, sentAt);
    });
  }

  /** Reports how an attempt ended, and logs that its connection did before its response. */
  #recordEnd(attempt: Attempt, end: AttemptEnd): void {
    const { suspects, clock, pacer } = this.#options;
    const { target } = attempt.call;
    pacer?.recordEnded(target, { end, status: attempt.status, ageMs: attempt.ageMs });
    this.#screened?.recordEnd(attempt, end);
    if (end === 'answered') {
      const sentAt = (clock.mono() - attempt.ageMs) as MonoTime;
      suspects.recordAnswer(getIncarnationKey(target), sentAt);
    }
    if (end !== 'broken') return;
    const { id, startedAt, service } = target;
    this.#options.metrics.count('attempt.broken');
    this.#options.logger.info('A connection ended while a target ran a request.', {
      id: this.#req.id,
      content: this.#screened?.digest,
      kind: this.#kind,
      target: id,
      startedAt,
      service,
      ageMs: Math.round(attempt.ageMs),
      status: attempt.status,
    });
  }

  #expire(): ForwardResult {
    const run = this.#possibleRuns > 0 ? 'may-have-run' : 'not-run';
    this.#active.forEach((attempt) => attempt.timeOut());
    if (run === 'not-run') return this.#refuse('deadline_unreachable', OTHER_PROCESS_RETRY_MS);
    return {
      type: 'refused',
      answer: createGatewayAnswer('deadline_exceeded', this.#lastReason, { run }),
    };
  }

  #endWithoutResponse(): ForwardResult {
    if (this.#req.signal.aborted) return { type: 'cancelled' };
    if (this.#lastErrorResponse) return this.#lastErrorResponse;
    if (this.#possibleRuns > 0) {
      const answer = createGatewayAnswer('outcome_unknown', this.#lastReason, {
        run: 'may-have-run',
      });
      return { type: 'refused', answer };
    }
    if (this.#req.isStopped?.()) return { type: 'cancelled' };
    if (!this.#req.mayRun()) return this.#refuse('config_stale', OTHER_PROCESS_RETRY_MS);
    if (this.#deniedPermit) return this.#refuseSuspect(this.#deniedPermit);
    const { directory, limiter, clock } = this.#options;
    const targets = this.#listAllowed(directory.listUsable(this.#service));
    const turnMs = findTurnInterval(limiter, targets);
    if (turnMs !== undefined) {
      const coldMs = findColdWait(limiter, targets, clock.mono());
      if (coldMs !== undefined) {
        return this.#refuse('targets_warming', Math.max(OTHER_PROCESS_RETRY_MS, coldMs));
      }
      const waitMs = Math.min(MAX_TURN_RETRY_MS, Math.max(OTHER_PROCESS_RETRY_MS, turnMs));
      return this.#refuse('targets_limited', waitMs);
    }
    return this.#refuseWithoutTarget();
  }

  /** Refuses a request that no target can take now, with what they have in common as the reason. */
  #refuseWithoutTarget(): ForwardResult {
    const { directory } = this.#options;
    const registered = directory.listAll(this.#service);
    const targets = this.#listAllowed(registered);
    const usable = directory.listUsable(this.#service);
    const isOnlyElsewhere = usable.length > 0 && this.#listAllowed(usable).length === 0;
    if (isOnlyElsewhere || (registered.length > 0 && targets.length === 0)) {
      return this.#refuse('region_not_allowed', REGION_RETRY_MS);
    }
    const staying = targets.filter((one) => !directory.isLeaving(one));
    if (staying.length === 0) {
      return this.#refuse(targets.length > 0 ? 'targets_leaving' : 'no_target', NO_TARGET_RETRY_MS);
    }
    if (staying.every((one) => directory.isEvacuated(one))) {
      return this.#refuse('targets_evacuated', EVACUATED_RETRY_MS);
    }
    return this.#refuse('no_target', NO_TARGET_RETRY_MS);
  }

  #refuse(code: CodeName, retryMs: Millis): ForwardResult {
    const retryAfterMs = jitterRetryAfter(retryMs, this.#options.random);
    return {
      type: 'refused',
      answer: createGatewayAnswer(code, this.#lastReason, { retryAfterMs }),
    };
  }

  #refuseStream({ code, detail, retryMs }: StreamRefusal): ForwardResult {
    if (this.#req.signal.aborted) return { type: 'cancelled' };
    this.#lastReason = detail;
    if (retryMs !== undefined) return this.#refuse(code, retryMs);
    return { type: 'refused', answer: createGatewayAnswer(code, detail) };
  }

  /** Refuses a request that may be what crashes targets: for good, or until it can run alone. */
  #refuseSuspect(permit: RunPermit): ForwardResult {
    const isFinal = permit === 'never';
    const code = isFinal ? 'request_crashes_targets' : 'request_suspected';
    const retryAfterMs = jitterRetryAfter(TRIAL_RETRY_MS, this.#options.random);
    const answer = createGatewayAnswer(code, BROKEN_RUNS, isFinal ? {} : { retryAfterMs });
    return { type: 'refused', answer: { ...answer, content: this.#screened?.digest } };
  }
}

/** Lists the targets that run fewer scoring calls than they have slots to spare. */
function listWithRoom(
  { stats }: Pick<ForwarderOptions, 'stats'>,
  targets: readonly TargetRegistration[],
): TargetRegistration[] {
  const healthy = targets.filter(({ id }) => !stats.isEjected(id));
  return (healthy.length > 0 ? healthy : targets).filter(
    ({ id, slots }) => stats.inFlightOf(id) < Math.max(1, slots - SLOTS_FOR_CALLERS),
  );
}

/** Resolves when a signal is aborted; removes its listener when `stop` is aborted. */
function waitForAbort(signal: AbortSignal, stop: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    signal.addEventListener('abort', () => resolve(), { once: true, signal: stop });
  });
}
