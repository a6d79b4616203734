/** Creates the entry's HTTP server, with its limits and error responses. */
import { randomUUID } from 'node:crypto';

import fastify, { type FastifyInstance } from 'fastify';

import { createFailure } from '@hibiscushill/base';

import { sendRefusal } from './refusal';
import type { EntrySettings } from './settings';

const HTTP_TOO_LARGE = 413;
const MAX_REQUEST_ID_CHARS = 100;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]+$/;

/**
 * Creates the HTTP server for callers, trainers and operators.
 *
 * @param cfg - the maximum sizes of bodies and headers
 * @returns the server, without routes
 */
export function createServer(cfg: EntrySettings): FastifyInstance {
  const app = fastify({
    bodyLimit: cfg.bodyBytes,
    http: { maxHeaderSize: cfg.headerBytes },
    genReqId: (req) => createRequestId(req.headers['x-request-id']),
    clientErrorHandler: (err, socket) => {
      const isTooLarge = err.code === 'HPE_HEADER_OVERFLOW';
      socket.end(createRawRefusal(isTooLarge ? 'headers_too_large' : 'request_invalid'));
    },
  });
  app.setErrorHandler((err: { statusCode?: number; message?: string }, req, res) => {
    const code = findErrorCode(err.statusCode);
    return sendRefusal(req, res, createFailure(code, { detail: err.message ?? '' }));
  });
  app.setNotFoundHandler((req, res) => sendRefusal(req, res, createFailure('route_unknown')));
  return app;
}

function findErrorCode(status: number | undefined) {
  if (status === HTTP_TOO_LARGE) return 'body_too_large';
  return status !== undefined && status < 500 ? 'request_invalid' : 'internal';
}

// The id starts with the caller's own one, so that callers can find their requests in logs. The
// random suffix keeps ids unique when a caller repeats one.
function createRequestId(header: string | string[] | undefined): string {
  const isUsable =
    typeof header === 'string' &&
    header.length <= MAX_REQUEST_ID_CHARS &&
    REQUEST_ID_PATTERN.test(header);
  return isUsable ? `${header}~${randomUUID().slice(0, 8)}` : randomUUID();
}

// Node rejects such a request before Fastify creates a reply, so the response is written by hand.
function createRawRefusal(name: 'headers_too_large' | 'request_invalid'): string {
  const code = name === 'headers_too_large' ? 1104 : 1102;
  const status =
    name === 'headers_too_large' ? '431 Request Header Fields Too Large' : '400 Bad Request';
  const requestId = randomUUID();
  const body = JSON.stringify({ code, name, run: 'not-run', requestId });
  return [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${body.length}`,
    `x-request-id: ${requestId}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
