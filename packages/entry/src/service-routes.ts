/** `ANY /s/{service}/...`: callers' requests to services. */
import {
  type Clock,
  type Failure,
  type KeyId,
  type Metrics,
  type Millis,
  type MonoTime,
  type RequestId,
  type ServiceId,
  type TeamId,
  createFailure,
} from '@hibiscushill/base';
import {
  type ConfigStore,
  type ConfigView,
  type Route,
  type Service,
  type Team,
  checkKey,
} from '@hibiscushill/config';
import type { Admission, AdmissionPolicy } from '@hibiscushill/routing';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { isNone, isSome } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import { isKeyExposed, toTargetHeaders } from './caller-headers';
import { AnswerForwarder, type ForwardedAnswer } from './answer-forwarder';
import type { EntryDemandMeter } from './demand-meter';
import type { DispatchRequest } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import type { OpenRequests } from './open-requests';
import { sendRefusal } from './refusal';
import { estimateModelRequest } from './request-cost';

const SERVICE_PATH = /^\/s\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const RETRY_SOON_MS: Millis = 250;
const FRESH_WAIT_MS: Millis = 1000;
const FRESH_POLL_MS: Millis = 20;
const PRIORITY_NORMAL = 1;
const MOST_KEY_LENGTH = 200;
const KEY_MISPLACED = 'the key stands outside its header';

/** What the routes need. */
export interface ServiceRoutesDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly config: ConfigStore;
  readonly configAgeMs: Millis;
  readonly bodyBytes: number;
  readonly admission: AdmissionPolicy;
  readonly dispatcher: RequestDispatcher;
  readonly open: OpenRequests;
  readonly demand: EntryDemandMeter;
  readonly estimateWait: (service: ServiceId) => Millis;
  readonly isStopping: () => boolean;
  /** Told of a request that was answered whole. */
  readonly onServed: (served: ServedRequest) => void;
}

/** A request that was answered whole. */
export interface ServedRequest {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly tokens: number;
}

interface Caller {
  readonly team: Team | undefined;
  readonly key: KeyId | '';
}

interface Target {
  readonly service: Service;
  readonly route: Route;
  readonly path: string;
}

/** Everything that is known of a request before it is admitted. */
interface Arrival extends Caller, Target {
  readonly id: RequestId;
  readonly body: Buffer;
  readonly costTokens: number;
  readonly affinityKey: string | undefined;
  readonly deadline: MonoTime;
}

/**
 * Registers the service routes.
 *
 * @param app - the server
 * @param deps - the policies and the way to the targets
 */
export function registerServiceRoutes(app: FastifyInstance, deps: ServiceRoutesDeps): void {
  const handler = new ServiceHandler(deps);
  void app.register(async (scope) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser(
      '*',
      { parseAs: 'buffer', bodyLimit: deps.bodyBytes },
      (_: unknown, body: Buffer) => Promise.resolve(body),
    );
    scope.all('/s/*', (req, res) => handler.handle(req, res));
  });
}

class ServiceHandler {
  readonly #deps: ServiceRoutesDeps;

  readonly #forwarder: AnswerForwarder;

  constructor(deps: ServiceRoutesDeps) {
    this.#deps = deps;
    this.#forwarder = new AnswerForwarder(deps);
  }

  async handle(req: FastifyRequest, res: FastifyReply): Promise<void> {
    await this.#waitUntilFresh();
    const arrival = this.#receive(req);
    if (arrival.isErr()) {
      this.#refuse(req, res, arrival.error);
      return;
    }
    const admission = this.#admit(arrival.value);
    if (admission.isOk() && isExposed(req, arrival.value)) {
      admission.value?.settle(0);
      admission.value?.release();
      this.#refuse(req, res, createFailure('request_invalid', { detail: KEY_MISPLACED }));
      return;
    }
    if (admission.isErr()) this.#deps.demand.recordRefusal(arrival.value.service.name);
    if (admission.isErr()) this.#refuse(req, res, admission.error);
    else await this.#serve(req, res, arrival.value, admission.value);
  }

  // After a pause the next heartbeats confirm the configuration, mostly in time for the request.
  async #waitUntilFresh(): Promise<void> {
    const { clock, config, configAgeMs } = this.#deps;
    const until = clock.mono() + FRESH_WAIT_MS;
    while (isSome(config.view) && !config.isFresh(configAgeMs) && clock.mono() < until) {
      await clock.sleep(FRESH_POLL_MS);
    }
  }

  #receive(req: FastifyRequest): Result<Arrival, Failure> {
    const { config, clock } = this.#deps;
    if (this.#deps.isStopping()) return refuse('shutting_down', RETRY_SOON_MS);
    const { view } = config;
    if (isNone(view)) return refuse('not_ready', RETRY_SOON_MS);
    if (!config.isFresh(this.#deps.configAgeMs)) return refuse('config_stale', RETRY_SOON_MS);
    return findTarget(view.value, req).andThen((target) =>
      identify(view.value, req, target.route).andThen((caller) => {
        const id = req.id as RequestId;
        const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
        const estimate =
          target.service.kind === 'model'
            ? estimateModelRequest(body)
            : { costTokens: 1, prefix: undefined };
        const deadline = (clock.mono() + target.service.deadlineMs) as MonoTime;
        const { costTokens, prefix: affinityKey } = estimate;
        return ok({ ...target, ...caller, id, body, costTokens, affinityKey, deadline });
      }),
    );
  }

  #admit(arrival: Arrival): Result<Admission | undefined, Failure> {
    if (arrival.team === undefined) return ok(undefined);
    return this.#deps.admission.admit({
      team: arrival.team,
      service: arrival.service.name,
      costTokens: arrival.costTokens,
      remainingMs: arrival.deadline - this.#deps.clock.mono(),
      estimatedWaitMs: this.#deps.estimateWait(arrival.service.name),
    });
  }

  async #serve(
    req: FastifyRequest,
    res: FastifyReply,
    arrival: Arrival,
    admission: Admission | undefined,
  ): Promise<void> {
    const ending = new AbortController();
    let isCut = false;
    const cut = (): void => {
      isCut = true;
      ending.abort();
    };
    const onClose = (): void => ending.abort();
    res.raw.once('close', onClose);
    this.#deps.open.add({ id: arrival.id, key: arrival.key, cut });
    const { demand, clock } = this.#deps;
    const startedAt = clock.mono();
    demand.recordStart(arrival.service.name);
    let tokens = 0;
    try {
      const dispatch = this.#createDispatch(req, arrival, ending.signal);
      const answer = await this.#deps.dispatcher.dispatch(dispatch);
      const outcome = answer.isErr()
        ? ({ kind: 'unsent', failure: answer.error } as const)
        : await this.#forwarder.forward({ req, res, dispatch, answer: answer.value });
      if (outcome.kind === 'unsent') {
        const { failure } = outcome;
        const named = isCut ? createFailure('key_withdrawn', { run: failure.run }) : failure;
        this.#refuse(req, res, named);
      } else if (outcome.kind === 'whole') {
        tokens = outcome.tokens;
        this.#finish(arrival, outcome);
      }
    } finally {
      res.raw.off('close', onClose);
      demand.recordEnd(arrival.service.name, clock.mono() - startedAt, tokens);
      this.#deps.open.remove(arrival.id);
      admission?.settle(tokens);
      admission?.release();
    }
  }

  #createDispatch(req: FastifyRequest, arrival: Arrival, signal: AbortSignal): DispatchRequest {
    const { service, route, team, key, affinityKey } = arrival;
    const idempotencyKey = route.idempotent ? '' : String(req.headers['idempotency-key'] ?? '');
    return {
      request: arrival.id,
      service: service.name,
      team: team?.name ?? '',
      key,
      isPublic: route.public,
      method: req.method,
      path: arrival.path,
      headers: toTargetHeaders(req.headers, arrival.id),
      body: arrival.body,
      isIdempotent: route.idempotent,
      isModel: service.kind === 'model',
      isBillable: team !== undefined,
      mayHedge: true,
      retain: false,
      idempotencyKey: idempotencyKey.slice(0, MOST_KEY_LENGTH),
      ...(affinityKey !== undefined && { affinityKey }),
      deadline: arrival.deadline,
      costTokens: arrival.costTokens,
      priority: PRIORITY_NORMAL,
      signal,
    };
  }

  #finish(arrival: Arrival, { request, tokens, settle }: ForwardedAnswer): void {
    const { team, service } = arrival;
    this.#deps.metrics.count('served');
    if (team !== undefined) {
      this.#deps.onServed({ request, team: team.name, service: service.name, tokens });
    }
    settle(team !== undefined);
  }

  #refuse(req: FastifyRequest, res: FastifyReply, failure: Failure): void {
    this.#deps.metrics.countRefusal(failure.code);
    if (this.#deps.isStopping()) void res.header('connection', 'close');
    sendRefusal(req, res, failure);
  }
}

function findTarget(view: ConfigView, req: FastifyRequest): Result<Target, Failure> {
  const parts = SERVICE_PATH.exec(req.url);
  if (parts === null) return refuse('route_unknown');
  const [, name = '', path = '/', query = ''] = parts;
  const service = view.findService(decodeName(name) as ServiceId);
  if (isNone(service)) return refuse('route_unknown');
  const route = view.findRoute(service.value, req.method, path);
  if (isNone(route)) return refuse('route_unknown');
  return ok({ service: service.value, route: route.value, path: `${path}${query}` });
}

function identify(view: ConfigView, req: FastifyRequest, route: Route): Result<Caller, Failure> {
  if (route.public) return ok({ team: undefined, key: '' });
  return checkKey(view, req.headers.authorization).andThen(({ team, key }) => {
    const found = view.findTeam(team);
    return isSome(found) ? ok<Caller>({ team: found.value, key }) : refuse('key_unknown');
  });
}

function isExposed(req: FastifyRequest, { id, body }: Arrival): boolean {
  const headers = toTargetHeaders(req.headers, id);
  return isKeyExposed(req.headers.authorization, req.url, headers, body);
}

function refuse(name: Failure['code'], retryAfterMs?: Millis, detail = ''): Result<never, Failure> {
  return err(createFailure(name, { detail, ...(retryAfterMs !== undefined && { retryAfterMs }) }));
}

function decodeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
