/** Serves callers: checks keys, finds routes, and hands requests on. */
import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  RandomSource,
  TeamId,
} from '@hibiscushill/base';
import { spreadRetryAfter } from '@hibiscushill/routing';

import {
  CallerHandler,
  type CallerReply,
  type CallerRequest,
  type Outcome,
  type OwnAnswer,
  type ResultPage,
  type SubmissionCall,
  type SubmissionSpec,
} from './caller-port';
import type { ConfigBook } from './config-tracker';
import { type ForwardResult, type RequestForwarder, createAnswer } from './request-forwarder';
import type { ServingRoute } from './serving-config';
import type { ItemId } from './submission';
import type { SubmissionDesk } from './submission-service';

// Callers that come back reach another process, so there is no need for them to wait.
const ELSEWHERE_RETRY_MS = 40;

/** What a gateway needs. */
export interface GatewayOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly config: ConfigBook;
  readonly forwarder: RequestForwarder;
  readonly desk: SubmissionDesk;
}

interface Access {
  readonly team: TeamId | undefined;
  readonly key: string | undefined;
}

/** The callers' side of one process. */
export class Gateway extends CallerHandler {
  readonly #options: GatewayOptions;

  readonly #open = new Set<Promise<void>>();

  #isStopping = false;

  /** @param options - the configuration and the paths that requests take */
  constructor(options: GatewayOptions) {
    super();
    this.#options = options;
  }

  override get isReady(): boolean {
    return !this.#isStopping && this.#options.config.isReady;
  }

  /** Tells the balancer to send no further callers; those that come are still served. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Resolves when no request is open. */
  async settle(): Promise<void> {
    await Promise.allSettled([...this.#open]);
  }

  override isSubmission(method: string, host: string, path: string): boolean {
    const route = this.#options.config.view?.findRoute(host, path);
    return method === 'POST' && route?.kind === 'rollout';
  }

  override onRequest(req: CallerRequest, reply: CallerReply): void {
    const task = this.#serve(req, reply).catch((error: unknown) => {
      this.#options.logger.error('A request failed inside the system.', {
        id: req.id,
        error: String(error),
      });
      reply.refuse(createAnswer('internal', String(error), { run: 'may-have-run' }));
    });
    this.#open.add(task);
    void task.finally(() => this.#open.delete(task));
  }

  override async submit(req: CallerRequest, spec: SubmissionSpec): Promise<Outcome<void>> {
    const route = this.#findRoute(req);
    if (!route.isOk) return this.#refused(req, route.answer);
    const access = this.#checkKey(route.value, req.key);
    if (!access.isOk) return this.#refused(req, access.answer);
    const outcome = await this.#options.desk.submit(req, spec, route.value, access.value.team);
    return outcome.isOk ? outcome : this.#refused(req, outcome.answer);
  }

  override async readResults(
    call: SubmissionCall,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>> {
    const access = this.#checkKey(undefined, call.key);
    if (!access.isOk) return access;
    return this.#options.desk.readResults(call, access.value.team, after, waitMs);
  }

  override async readBody(call: SubmissionCall, item: ItemId): Promise<Outcome<Uint8Array>> {
    const access = this.#checkKey(undefined, call.key);
    if (!access.isOk) return access;
    return this.#options.desk.readBody(call, access.value.team, item);
  }

  override async endSubmission(call: SubmissionCall): Promise<Outcome<void>> {
    const access = this.#checkKey(undefined, call.key);
    if (!access.isOk) return access;
    return this.#options.desk.end(call, access.value.team);
  }

  async #serve(req: CallerRequest, reply: CallerReply): Promise<void> {
    const route = this.#findRoute(req);
    const access = route.isOk ? this.#checkKey(route.value, req.key) : route;
    if (!route.isOk || !access.isOk) {
      const answer = route.isOk ? !access.isOk && access.answer : route.answer;
      if (answer) this.#answer(req, reply, answer);
      return;
    }
    const gone = new AbortController();
    reply.onGone(() => gone.abort());
    if (reply.isGone) return;
    const result = await this.#options.forwarder.forward({
      id: req.id,
      route: route.value,
      team: access.value.team,
      method: req.method,
      path: req.target,
      host: req.host,
      headers: req.headers,
      body: req.body,
      endsAt: readEnd(req, route.value),
      ...(req.resumeAfter !== undefined && { resumeAfter: req.resumeAfter }),
      mayRun: () => this.#mayRun(route.value, access.value),
      signal: gone.signal,
    });
    await this.#finish(req, reply, result);
  }

  async #finish(req: CallerRequest, reply: CallerReply, result: ForwardResult): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const tookMs = clock.mono() - req.receivedAt;
    if (result.type === 'refused') {
      this.#answer(req, reply, result.answer);
      return;
    }
    metrics.count(`request.${result.type}`);
    metrics.time('request', tookMs);
    if (result.type === 'cancelled') {
      logger.info('A caller left.', { id: req.id, tookMs: Math.round(tookMs) });
      return;
    }
    logger.info('A request was answered.', {
      id: req.id,
      status: result.head.status,
      tookMs: Math.round(tookMs),
      configVersion: this.#options.config.view?.version,
    });
    if (result.type === 'answered') reply.relay(result.head, result.body);
    else await this.#stream(req, reply, result);
  }

  #stream(
    req: CallerRequest,
    reply: CallerReply,
    { attempt }: Extract<ForwardResult, { type: 'streaming' }>,
  ): Promise<void> {
    return new Promise((resolve) => {
      reply.onGone(() => {
        attempt.cancel();
        resolve();
      });
      attempt.relayTo(reply, (reason) => {
        if (reason !== undefined) {
          this.#options.logger.info('A stream broke off.', { id: req.id, reason });
        }
        resolve();
      });
    });
  }

  #findRoute(req: CallerRequest): Outcome<ServingRoute> {
    const { view } = this.#options.config;
    if (!view)
      return { isOk: false, answer: this.#sendElsewhere('not_ready', 'No configuration.') };
    const route = view.findRoute(req.host, req.path);
    if (route) return { isOk: true, value: route };
    return { isOk: false, answer: createAnswer('route_unknown', 'No route matches.') };
  }

  #checkKey(route: ServingRoute | undefined, key: string | undefined): Outcome<Access> {
    const { config } = this.#options;
    const { view } = config;
    if (!view)
      return { isOk: false, answer: this.#sendElsewhere('not_ready', 'No configuration.') };
    if (!view.needsKeys || route?.isPublic) {
      return { isOk: true, value: { team: undefined, key: undefined } };
    }
    if (!config.areKeysFresh) {
      const detail = `The configuration was confirmed ${Math.round(config.proofAgeMs)} ms ago.`;
      return { isOk: false, answer: this.#sendElsewhere('config_stale', detail) };
    }
    if (key === undefined) {
      return { isOk: false, answer: createAnswer('key_missing', 'No key.') };
    }
    const team = view.findTeam(key);
    if (team) return { isOk: true, value: { team: team.name, key } };
    return { isOk: false, answer: createAnswer('key_unknown', 'The key is not known.') };
  }

  /** Whether a request whose key was accepted may still be sent to a target. */
  #mayRun(route: ServingRoute, { team, key }: Access): boolean {
    const { config } = this.#options;
    if (key === undefined) return true;
    return config.areKeysFresh && config.view?.findTeam(key)?.name === team && !route.isPublic;
  }

  #sendElsewhere(code: 'not_ready' | 'config_stale', detail: string): OwnAnswer {
    const retryAfterMs = spreadRetryAfter(ELSEWHERE_RETRY_MS, this.#options.random);
    return createAnswer(code, detail, { retryAfterMs });
  }

  #answer(req: CallerRequest, reply: CallerReply, answer: OwnAnswer): void {
    this.#note(req, answer);
    reply.refuse(answer);
  }

  #refused(req: CallerRequest, answer: OwnAnswer): Outcome<void> {
    this.#note(req, answer);
    return { isOk: false, answer };
  }

  #note(req: CallerRequest, { code, status, run, detail, retryAfterMs }: OwnAnswer): void {
    const { metrics, logger, clock, config } = this.#options;
    metrics.countRefusal(code);
    logger.info('A request was refused.', {
      id: req.id,
      code,
      status,
      run,
      detail,
      retryAfterMs,
      tookMs: Math.round(clock.mono() - req.receivedAt),
      configVersion: config.view?.version,
      proofAgeMs: Math.round(config.proofAgeMs),
    });
  }
}

function readEnd(req: CallerRequest, route: ServingRoute): MonoTime {
  const routeEnd = req.receivedAt + route.timeoutMs;
  return Math.min(routeEnd, req.deadlineAt ?? routeEnd) as MonoTime;
}
