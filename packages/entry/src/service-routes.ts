/** `ANY /s/{service}/...`: serves callers' requests to services. */
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
import { ResponseForwarder, type CompleteResponse } from './response-forwarder';
import type { EntryDemandMeter } from './demand-meter';
import type { DispatchRequest } from './dispatch';
import type { RequestDispatcher } from './dispatcher';
import type { OpenRequests } from './open-requests';
import { sendRefusal } from './refusal';
import { estimateModelRequest } from './request-cost';

const SERVICE_PATH_PATTERN = /^\/s\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const RETRY_AFTER_MS: Millis = 250;
const CONFIG_WAIT_MS: Millis = 1000;
const CONFIG_POLL_INTERVAL_MS: Millis = 20;
const DEFAULT_PRIORITY = 1;
const MAX_IDEMPOTENCY_KEY_CHARS = 200;
const KEY_EXPOSED_DETAIL = 'the API key appears outside the authorization header';

/** The policies, limits and collaborators of the service routes. */
export interface ServiceRoutesDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly config: ConfigStore;
  readonly configAgeMs: Millis;
  readonly bodyBytes: number;
  readonly admission: AdmissionPolicy;
  readonly dispatcher: RequestDispatcher;
  readonly openRequests: OpenRequests;
  readonly demandMeter: EntryDemandMeter;
  readonly estimateWait: (service: ServiceId) => Millis;
  readonly isStopping: () => boolean;
  /** Called after a complete response was sent. */
  readonly onServed: (served: ServedRequest) => void;
}

/** A request whose complete response was sent, for usage accounting. */
export interface ServedRequest {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly tokens: number;
}

/** The caller that a request was authenticated as; on a public route, without team and key. */
interface Caller {
  readonly team: Team | undefined;
  readonly key: KeyId | '';
}

/** The declared service and route that a request's path refers to. */
interface ResolvedRoute {
  readonly service: Service;
  readonly route: Route;
  /** The path and query that are sent to the target. */
  readonly path: string;
}

/** A request that was resolved and authenticated, but not yet admitted. */
interface ReceivedRequest extends Caller, ResolvedRoute {
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
 * @param deps - the policies, limits and collaborators
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

  readonly #forwarder: ResponseForwarder;

  constructor(deps: ServiceRoutesDeps) {
    this.#deps = deps;
    this.#forwarder = new ResponseForwarder(deps);
  }

  async handle(req: FastifyRequest, res: FastifyReply): Promise<void> {
    await this.#waitForFreshConfig();
    const received = this.#receive(req);
    if (received.isErr()) {
      this.#refuse(req, res, received.error);
      return;
    }
    const admission = this.#admit(received.value);
    if (admission.isOk() && exposesKey(req, received.value)) {
      admission.value?.adjustCost(0);
      admission.value?.release();
      this.#refuse(req, res, createFailure('request_invalid', { detail: KEY_EXPOSED_DETAIL }));
      return;
    }
    if (admission.isErr()) this.#deps.demandMeter.recordRefusal(received.value.service.name);
    if (admission.isErr()) this.#refuse(req, res, admission.error);
    else await this.#serve(req, res, received.value, admission.value);
  }

  // After a pause of this process, the next heartbeats usually confirm the configuration in time
  // for the request.
  async #waitForFreshConfig(): Promise<void> {
    const { clock, config, configAgeMs } = this.#deps;
    const until = clock.mono() + CONFIG_WAIT_MS;
    while (isSome(config.view) && !config.isFresh(configAgeMs) && clock.mono() < until) {
      await clock.sleep(CONFIG_POLL_INTERVAL_MS);
    }
  }

  #receive(req: FastifyRequest): Result<ReceivedRequest, Failure> {
    const { config, clock } = this.#deps;
    if (this.#deps.isStopping()) return refuse('shutting_down', RETRY_AFTER_MS);
    const { view } = config;
    if (isNone(view)) return refuse('not_ready', RETRY_AFTER_MS);
    if (!config.isFresh(this.#deps.configAgeMs)) return refuse('config_stale', RETRY_AFTER_MS);
    return resolveRoute(view.value, req).andThen((resolved) =>
      authenticate(view.value, req, resolved.route).andThen((caller) => {
        const id = req.id as RequestId;
        const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
        const estimate =
          resolved.service.kind === 'model'
            ? estimateModelRequest(body)
            : { costTokens: 1, prefix: undefined };
        const deadline = (clock.mono() + resolved.service.deadlineMs) as MonoTime;
        const { costTokens, prefix: affinityKey } = estimate;
        return ok({ ...resolved, ...caller, id, body, costTokens, affinityKey, deadline });
      }),
    );
  }

  #admit(received: ReceivedRequest): Result<Admission | undefined, Failure> {
    if (received.team === undefined) return ok(undefined);
    return this.#deps.admission.admit({
      team: received.team,
      service: received.service.name,
      costTokens: received.costTokens,
      remainingMs: received.deadline - this.#deps.clock.mono(),
      estimatedWaitMs: this.#deps.estimateWait(received.service.name),
    });
  }

  async #serve(
    req: FastifyRequest,
    res: FastifyReply,
    received: ReceivedRequest,
    admission: Admission | undefined,
  ): Promise<void> {
    const requestController = new AbortController();
    let isKeyWithdrawn = false;
    const abort = (): void => {
      isKeyWithdrawn = true;
      requestController.abort();
    };
    const onClose = (): void => requestController.abort();
    res.raw.once('close', onClose);
    this.#deps.openRequests.add({ id: received.id, key: received.key, abort });
    const { demandMeter, clock } = this.#deps;
    const startedAt = clock.mono();
    demandMeter.recordStart(received.service.name);
    let tokens = 0;
    try {
      const dispatch = this.#createDispatch(req, received, requestController.signal);
      const response = await this.#deps.dispatcher.dispatch(dispatch);
      const outcome = response.isErr()
        ? ({ kind: 'unsent', failure: response.error } as const)
        : await this.#forwarder.forward({ req, res, dispatch, response: response.value });
      if (outcome.kind === 'unsent') {
        const { failure } = outcome;
        const reported = isKeyWithdrawn
          ? createFailure('key_withdrawn', { run: failure.run })
          : failure;
        this.#refuse(req, res, reported);
      } else if (outcome.kind === 'complete') {
        tokens = outcome.tokens;
        this.#recordServed(received, outcome);
      }
    } finally {
      res.raw.off('close', onClose);
      demandMeter.recordEnd(received.service.name, clock.mono() - startedAt, tokens);
      this.#deps.openRequests.remove(received.id);
      admission?.adjustCost(tokens);
      admission?.release();
    }
  }

  #createDispatch(
    req: FastifyRequest,
    received: ReceivedRequest,
    signal: AbortSignal,
  ): DispatchRequest {
    const { service, route, team, key, affinityKey } = received;
    const idempotencyKey = route.idempotent ? '' : String(req.headers['idempotency-key'] ?? '');
    return {
      request: received.id,
      service: service.name,
      team: team?.name ?? '',
      key,
      isPublic: route.public,
      method: req.method,
      path: received.path,
      headers: toTargetHeaders(req.headers, received.id),
      body: received.body,
      isIdempotent: route.idempotent,
      isModel: service.kind === 'model',
      isBillable: team !== undefined,
      isHedgeable: true,
      retain: false,
      idempotencyKey: idempotencyKey.slice(0, MAX_IDEMPOTENCY_KEY_CHARS),
      ...(affinityKey !== undefined && { affinityKey }),
      deadline: received.deadline,
      costTokens: received.costTokens,
      priority: DEFAULT_PRIORITY,
      signal,
    };
  }

  #recordServed(
    received: ReceivedRequest,
    { request, tokens, acknowledge }: CompleteResponse,
  ): void {
    const { team, service } = received;
    this.#deps.metrics.count('served');
    if (team !== undefined) {
      this.#deps.onServed({ request, team: team.name, service: service.name, tokens });
    }
    acknowledge(team !== undefined);
  }

  #refuse(req: FastifyRequest, res: FastifyReply, failure: Failure): void {
    this.#deps.metrics.countRefusal(failure.code);
    if (this.#deps.isStopping()) void res.header('connection', 'close');
    sendRefusal(req, res, failure);
  }
}

function resolveRoute(view: ConfigView, req: FastifyRequest): Result<ResolvedRoute, Failure> {
  const parts = SERVICE_PATH_PATTERN.exec(req.url);
  if (parts === null) return refuse('route_unknown');
  const [, name = '', path = '/', query = ''] = parts;
  const service = view.findService(decodeName(name) as ServiceId);
  if (isNone(service)) return refuse('route_unknown');
  const route = view.findRoute(service.value, req.method, path);
  if (isNone(route)) return refuse('route_unknown');
  return ok({ service: service.value, route: route.value, path: `${path}${query}` });
}

function authenticate(
  view: ConfigView,
  req: FastifyRequest,
  route: Route,
): Result<Caller, Failure> {
  if (route.public) return ok({ team: undefined, key: '' });
  return checkKey(view, req.headers.authorization).andThen(({ team, key }) => {
    const found = view.findTeam(team);
    return isSome(found) ? ok<Caller>({ team: found.value, key }) : refuse('key_unknown');
  });
}

function exposesKey(req: FastifyRequest, { id, body }: ReceivedRequest): boolean {
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
