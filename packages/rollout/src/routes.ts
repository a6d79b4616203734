/** The HTTP routes of the trainer API. */
import { RESULT_CODES, type Failure, type TrainerId } from '@hibiscushill/base';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'neverthrow';

import type { TrainerCall, TrainerReply, TrainerService } from './trainer-service';

/** The service behind the routes, the check of keys and the body limit. */
export interface TrainerRoutesDeps {
  readonly service: TrainerService;
  /** Checks that the request's key belongs to the trainer's team. */
  readonly authorize: (req: FastifyRequest, trainer: TrainerId) => Result<void, Failure>;
  /** The largest accepted body, in bytes. Default 8 MiB. */
  readonly maxBodyBytes?: number;
}

interface TrainerParams {
  trainer: TrainerId;
}

interface SampleParams extends TrainerParams {
  step: string;
}

const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
const MS_PER_SECOND = 1000;

/**
 * Registers the trainer API on an entry's HTTP server.
 *
 * @param app - the server
 * @param deps - the service behind the routes, the check of keys and the body limit
 */
export function registerTrainerRoutes(app: FastifyInstance, deps: TrainerRoutesDeps): void {
  const bodyLimit = deps.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  app.post<{ Params: TrainerParams }>('/v1/trainers/:trainer/weights', { bodyLimit }, (req, res) =>
    handleCall(deps, req, res, { kind: 'publish', trainer: req.params.trainer, body: req.body }),
  );
  app.post<{ Params: TrainerParams }>('/v1/trainers/:trainer/steps', { bodyLimit }, (req, res) =>
    handleCall(deps, req, res, { kind: 'create', trainer: req.params.trainer, body: req.body }),
  );
  app.get<{ Params: SampleParams; Querystring: Record<string, string> }>(
    '/v1/trainers/:trainer/steps/:step/samples',
    (req, res) => {
      const body = { ...req.query, step: req.params.step };
      return handleCall(deps, req, res, { kind: 'samples', trainer: req.params.trainer, body });
    },
  );
}

async function handleCall(
  deps: TrainerRoutesDeps,
  req: FastifyRequest,
  res: FastifyReply,
  call: TrainerCall,
): Promise<FastifyReply> {
  const allowed = deps.authorize(req, call.trainer);
  if (allowed.isErr()) return send(res, req, createRefusal(allowed.error));
  const disconnect = new AbortController();
  res.raw.once('close', () => disconnect.abort());
  const reply = await deps.service.handle(call, disconnect.signal);
  return send(res, req, reply);
}

function createRefusal(failure: Failure): TrainerReply {
  const { code, status } = RESULT_CODES[failure.code];
  return { status, body: { code, name: failure.code, run: failure.run, detail: failure.detail } };
}

function send(res: FastifyReply, req: FastifyRequest, reply: TrainerReply): FastifyReply {
  const isRefusal = reply.status !== 200 && typeof reply.body === 'object';
  const body = isRefusal ? { ...reply.body, requestId: req.id } : reply.body;
  const waitMs = isRefusal ? (reply.body as { retryAfterMs?: number }).retryAfterMs : undefined;
  if (waitMs !== undefined) void res.header('retry-after', Math.ceil(waitMs / MS_PER_SECOND));
  return res
    .status(reply.status)
    .header('x-request-id', req.id)
    .type('application/json')
    .send(JSON.stringify(body));
}
