/** Headers between callers and targets: what is passed on, and that no key is among it. */
import type { IncomingHttpHeaders } from 'node:http';

import { HOP_BY_HOP_HEADERS, type RequestId } from '@hibiscushill/base';
import type { Header } from '@hibiscushill/protocol';

// Headers of one connection, the key's own header, and those that the entry sets itself.
const DROPPED = new Set([
  ...HOP_BY_HOP_HEADERS,
  'authorization',
  'content-length',
  'host',
  'idempotency-key',
  'x-request-id',
]);

const BEARER = /^Bearer +hk_[A-Za-z0-9]+_(.+)$/i;

/**
 * Lists the headers that go to the target.
 *
 * @param headers - the caller's headers
 * @param request - the request's id
 * @returns the headers without those of the connection and without the key
 */
export function toTargetHeaders(headers: IncomingHttpHeaders, request: RequestId): Header[] {
  const named = new Set((headers.connection ?? '').toLowerCase().split(/ *, */));
  const passed = Object.entries(headers)
    .filter(([name]) => !DROPPED.has(name) && !named.has(name))
    .flatMap(([name, value]) => [value ?? []].flat().map((text) => ({ name, value: text })));
  return [...passed, { name: 'x-request-id', value: request }];
}

/**
 * Finds a key's secret anywhere that would reach the target.
 *
 * @param authorization - the caller's `Authorization` header
 * @param url - the request's path and query
 * @param headers - the headers that go to the target
 * @param body - the request's body
 * @returns whether the secret would leak
 */
export function isKeyExposed(
  authorization: string | undefined,
  url: string,
  headers: readonly Header[],
  body: Buffer,
): boolean {
  const secret = BEARER.exec(authorization ?? '')?.[1];
  if (secret === undefined) return false;
  return (
    url.includes(secret) ||
    headers.some((header) => header.value.includes(secret)) ||
    body.includes(secret)
  );
}
