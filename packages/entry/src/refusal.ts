/** HTTP responses that refuse a request, with a numbered result code. */
import { type Failure, RESULT_CODES } from '@hibiscushill/base';
import type { FastifyReply, FastifyRequest } from 'fastify';

const MS_PER_SECOND = 1000;

/** The JSON body of a refusal. */
export interface RefusalBody {
  /** The number of the result code. */
  readonly code: number;
  /** The name of the result code. */
  readonly name: string;
  /** Whether the request may have run: `not-run` or `may-have-run`. */
  readonly run: string;
  readonly retryAfterMs?: number;
  readonly detail?: string;
  readonly requestId: string;
}

/**
 * Responds to a request with a refusal.
 *
 * @param req - the request
 * @param res - the reply to send
 * @param failure - the reason; its code determines the HTTP status
 * @returns the reply
 */
export function sendRefusal(
  req: FastifyRequest,
  res: FastifyReply,
  failure: Failure,
): FastifyReply {
  const { code, status } = RESULT_CODES[failure.code];
  const { retryAfterMs } = failure;
  const body: RefusalBody = {
    code,
    name: failure.code,
    run: failure.run,
    ...(retryAfterMs !== undefined && { retryAfterMs: Math.ceil(retryAfterMs) }),
    ...(failure.detail !== '' && { detail: failure.detail }),
    requestId: req.id,
  };
  if (retryAfterMs !== undefined) {
    void res.header('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  return res.status(status).header('x-request-id', req.id).send(body);
}
