/** The entry point for callers: authenticates requests and submissions, and finds their routes. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  RandomSource,
  TeamId,
} from '@hibiscushill/base';
import { type AllowedRegions, type CallerAccess, ShutdownSchedule } from '@hibiscushill/routing';

import { AccessCheck } from './access-check';
import {
  CallerHandler,
  type CallerReply,
  type CallerRequest,
  type Outcome,
  type GatewayAnswer,
  type ResultPage,
  type Screening,
  type SubmissionCall,
  type SubmissionSpec,
} from './caller-port';
import type { ConfigTracker } from './config-tracker';
import { createGatewayAnswer } from './gateway-answer';
import type { ForwardResult, RequestForwarder } from './request-forwarder';
import type { ServingRoute } from './serving-config';
import type { ItemId, SubmissionId } from './submission';
import type { SubmissionService } from './submission-service';

/** The configuration, and what serves requests and submissions. */
export interface GatewayOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly config: ConfigTracker;
  readonly forwarder: RequestForwarder;
  readonly submissionService: SubmissionService;
}

// Targets may have been running it.
const CUT_OFF_ANSWER = createGatewayAnswer('outcome_unknown', 'The process has stopped.', {
  run: 'may-have-run',
});

/** The access of calls that need none, as those of work that belongs to no team. */
const ANONYMOUS: CallerAccess = { team: undefined, basis: 'public' };

/** Serves the callers of one process. */
export class Gateway extends CallerHandler {
  readonly #options: GatewayOptions;

  readonly #access: AccessCheck;

  /** What ends each open request that isn't part of a submission. */
  readonly #openRequests = new Set<AbortController>();

  #shutdown: ShutdownSchedule | undefined;

  /** @param options - the configuration, the forwarder and the submissions */
  constructor(options: GatewayOptions) {
    super();
    this.#options = options;
    this.#access = new AccessCheck(options);
  }

  override get isReady(): boolean {
    return !this.#shutdown && this.#options.config.isReady;
  }

  /**
   * Makes `isReady` false, so that load balancers send no more. Requests that can end in time are
   * still served.
   *
   * @param graceMs - how long the process may take to stop, in milliseconds
   * @returns when open requests have to be cut off
   */
  stop(graceMs: Millis): MonoTime {
    this.#shutdown ??= new ShutdownSchedule(this.#options.clock.mono(), graceMs);
    return this.#shutdown.servesUntil;
  }

  /** Ends all open requests: their callers are told that they may have run. */
  cutOff(): void {
    if (this.#openRequests.size === 0) return;
    this.#options.logger.warn('Open requests were cut off at shutdown.', {
      requests: this.#openRequests.size,
    });
    this.#openRequests.forEach((request) => request.abort());
  }

  override isSubmission(method: string, host: string, path: string): boolean {
    const route = this.#options.config.current?.findRoute(host, path);
    return method === 'POST' && route?.kind === 'rollout';
  }

  override screen(req: CallerRequest, bodyBytes: number): Screening {
    const route = this.#findRoute(req);
    if (!route.isOk) return { refusal: route.answer, endsAt: req.deadlineAt };
    const access = this.#access.authenticate(route.value, req.key);
    if (!access.isOk) return { refusal: access.answer, endsAt: req.deadlineAt };
    // A submission's own time limits apply once it is accepted.
    if (route.value.kind === 'rollout') {
      const id = req.id as string as SubmissionId;
      const refusal = this.#options.submissionService.findRefusal(id, bodyBytes);
      return { refusal, endsAt: req.deadlineAt };
    }
    return { refusal: undefined, endsAt: computeEnd(req, route.value) };
  }

  override onRequest(req: CallerRequest, reply: CallerReply): void {
    const stop = new AbortController();
    this.#openRequests.add(stop);
    const task = this.#serve(req, reply, stop).catch((error: unknown) => {
      this.#options.logger.error('A request failed with an unexpected error.', {
        id: req.id,
        error: String(error),
      });
      reply.refuse(createGatewayAnswer('internal', String(error), { run: 'may-have-run' }));
    });
    void task.finally(() => this.#openRequests.delete(stop));
  }

  override async submit(req: CallerRequest, spec: SubmissionSpec): Promise<Outcome<void>> {
    const route = this.#findRoute(req);
    if (!route.isOk) return this.#createRefusedOutcome(req, route.answer);
    const access = this.#access.authenticate(route.value, req.key);
    if (!access.isOk) return this.#createRefusedOutcome(req, access.answer);
    const denial = this.#access.checkOwnership(req, spec, access.value);
    if (denial) return this.#createRefusedOutcome(req, denial);
    if (!this.#takes(computeEnd(req, route.value))) {
      return this.#createRefusedOutcome(req, this.#createStoppingRefusal());
    }
    const outcome = await this.#options.submissionService.submit(
      req,
      spec,
      route.value,
      access.value,
    );
    return outcome.isOk ? outcome : this.#createRefusedOutcome(req, outcome.answer);
  }

  override async readResults(
    call: SubmissionCall,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>> {
    const access = await this.#authorize(call);
    if (!access.isOk) return access;
    const { clock, submissionService } = this.#options;
    const leftMs = (this.#shutdown?.servesUntil ?? Infinity) - clock.mono();
    const maxWaitMs = Math.max(0, Math.min(waitMs, leftMs));
    return submissionService.readResults(call, access.value, after, maxWaitMs);
  }

  override async readBody(call: SubmissionCall, item: ItemId): Promise<Outcome<string>> {
    const access = await this.#authorize(call);
    if (!access.isOk) return access;
    return this.#options.submissionService.readBody(call, access.value, item);
  }

  override async endSubmission(call: SubmissionCall): Promise<Outcome<void>> {
    const access = await this.#authorize(call);
    if (!access.isOk) return access;
    return this.#options.submissionService.end(call, access.value);
  }

  async #serve(req: CallerRequest, reply: CallerReply, stop: AbortController): Promise<void> {
    const route = this.#findRoute(req);
    const access = route.isOk ? this.#access.authenticate(route.value, req.key) : route;
    if (!route.isOk || !access.isOk) {
      const answer = route.isOk ? !access.isOk && access.answer : route.answer;
      if (answer) this.#refuse(req, reply, answer);
      return;
    }
    const endsAt = computeEnd(req, route.value);
    // A stream goes on after its deadline while its caller reads it.
    const isBounded = route.value.kind !== 'stream';
    if (!this.#takes(isBounded ? endsAt : (Infinity as MonoTime))) {
      this.#refuse(req, reply, this.#createStoppingRefusal());
      return;
    }
    reply.onDisconnected(() => stop.abort());
    if (reply.isDisconnected) return;
    const result = await this.#options.forwarder.forward({
      id: req.id,
      route: route.value,
      team: access.value.team,
      method: req.method,
      path: req.target,
      host: req.host,
      headers: req.headers,
      body: req.body,
      endsAt,
      ...(req.resumeAfter !== undefined && { resumeAfter: req.resumeAfter }),
      ...(req.resumes !== undefined && { resumes: req.resumes }),
      findRegions: () => this.#findRegions(req, route.value, access.value.team),
      mayRun: () => this.#access.isStillGranted(access.value, req.key),
      signal: stop.signal,
    });
    await this.#finish(req, reply, result, stop.signal);
  }

  #findRegions(
    { host, path }: CallerRequest,
    route: ServingRoute,
    team: TeamId | undefined,
  ): AllowedRegions {
    const { config } = this.#options;
    return config.findRegions(config.current?.findRoute(host, path) ?? route, team);
  }

  async #finish(
    req: CallerRequest,
    reply: CallerReply,
    result: ForwardResult,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const tookMs = clock.mono() - req.receivedAt;
    if (result.type === 'refused') {
      this.#refuse(req, reply, result.answer);
      return;
    }
    if (result.type === 'cancelled' && !reply.isDisconnected) {
      this.#refuse(req, reply, CUT_OFF_ANSWER);
      return;
    }
    metrics.count(`request.${result.type}`);
    metrics.time('request', tookMs);
    if (result.type === 'cancelled') {
      logger.info('The caller of a request closed its connection.', {
        id: req.id,
        tookMs: Math.round(tookMs),
      });
      return;
    }
    logger.info('A request was answered.', {
      id: req.id,
      status: result.head.status,
      target: result.type === 'answered' ? result.target : result.attempt.call.target.id,
      ...(result.type === 'streaming' && {
        software: result.attempt.call.target.software,
        resumeAfter: req.resumeAfter,
      }),
      tookMs: Math.round(tookMs),
      configVersion: this.#options.config.current?.version,
    });
    if (result.type === 'answered') reply.sendResponse(result.head, result.body, result.release);
    else await this.#stream(req, reply, result, signal);
  }

  #stream(
    req: CallerRequest,
    reply: CallerReply,
    { attempt }: Extract<ForwardResult, { type: 'streaming' }>,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise((resolve) => {
      const stop = (): void => {
        attempt.cancel();
        if (!reply.isDisconnected) reply.abort();
        resolve();
      };
      if (signal.aborted) {
        stop();
        return;
      }
      signal.addEventListener('abort', stop, { once: true });
      attempt.relayTo(reply, (reason) => {
        if (reason !== undefined) {
          this.#options.logger.info('A stream ended before it was complete.', {
            id: req.id,
            reason,
          });
        }
        resolve();
      });
    });
  }

  /** Whether a request that ends at a time is served; all are unless the process is stopping. */
  #takes(endsAt: MonoTime): boolean {
    return this.#shutdown?.takes(this.#options.clock.mono(), endsAt) ?? true;
  }

  #findRoute(req: CallerRequest): Outcome<ServingRoute> {
    const { current } = this.#options.config;
    if (!current)
      return {
        isOk: false,
        answer: this.#access.createUnreadyRefusal(
          'not_ready',
          'The process has not read a configuration yet.',
        ),
      };
    const route = current.findRoute(req.host, req.path);
    if (route) return { isOk: true, value: route };
    return { isOk: false, answer: this.#access.createDenial('route_unknown') };
  }

  /** Finds by what right the results of a submission are read or it is ended. */
  async #authorize(call: SubmissionCall): Promise<Outcome<CallerAccess>> {
    const access = this.#access.authenticate(undefined, call.key);
    if (access.isOk || !this.#options.config.current) return access;
    const isUnowned = await this.#options.submissionService.isUnowned(call);
    if (!isUnowned.isOk) return isUnowned;
    return isUnowned.value ? { isOk: true, value: ANONYMOUS } : access;
  }

  #createStoppingRefusal(): GatewayAnswer {
    return this.#access.createUnreadyRefusal('shutting_down', 'The request may last too long.');
  }

  #refuse(req: CallerRequest, reply: CallerReply, answer: GatewayAnswer): void {
    this.recordRefusal(req, answer);
    reply.refuse(answer);
  }

  #createRefusedOutcome(req: CallerRequest, answer: GatewayAnswer): Outcome<void> {
    this.recordRefusal(req, answer);
    return { isOk: false, answer };
  }

  override recordRefusal(
    req: CallerRequest,
    { code, status, run, detail, retryAfterMs, content }: GatewayAnswer,
  ): void {
    const { metrics, logger, clock, config } = this.#options;
    metrics.countRefusal(code);
    logger.info('A request was refused.', {
      id: req.id,
      code,
      status,
      run,
      detail,
      content,
      retryAfterMs,
      tookMs: Math.round(clock.mono() - req.receivedAt),
      configVersion: config.current?.version,
      proofAgeMs: Math.round(config.proofAgeMs),
    });
  }
}

/** Computes when a request times out, by its route or earlier by its own deadline. */
function computeEnd(req: CallerRequest, route: ServingRoute): MonoTime {
  const routeEnd = req.receivedAt + route.timeoutMs;
  return Math.min(routeEnd, req.deadlineAt ?? routeEnd) as MonoTime;
}
