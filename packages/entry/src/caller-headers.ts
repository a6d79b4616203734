/** Selects the headers that are forwarded to targets, and detects API keys in requests. */
import type { IncomingHttpHeaders } from 'node:http';

import { HOP_BY_HOP_HEADERS, type RequestId } from '@hibiscushill/base';
import type { Header } from '@hibiscushill/protocol';

// Hop-by-hop headers, headers that carry credentials or keys, and those that the entry sets itself.
const DROPPED_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  'authorization',
  'content-length',
  'host',
  'idempotency-key',
  'x-request-id',
]);

const API_KEY_PATTERN = /^Bearer +hk_[A-Za-z0-9]+_(.+)$/i;

/**
 * Selects the headers that are forwarded to the target.
 *
 * @param headers - the caller's headers
 * @param request - the request's id
 * @returns the headers without hop-by-hop headers and without the API key, plus `x-request-id`
 */
export function toTargetHeaders(headers: IncomingHttpHeaders, request: RequestId): Header[] {
  const connectionHeaders = new Set((headers.connection ?? '').toLowerCase().split(/ *, */));
  const forwarded = Object.entries(headers)
    .filter(([name]) => !DROPPED_HEADERS.has(name) && !connectionHeaders.has(name))
    .flatMap(([name, value]) => [value ?? []].flat().map((text) => ({ name, value: text })));
  return [...forwarded, { name: 'x-request-id', value: request }];
}

/**
 * Checks whether the secret of the caller's API key appears in anything that the target receives.
 *
 * @param authorization - the caller's `Authorization` header
 * @param url - the request's path and query
 * @param headers - the headers that are forwarded to the target
 * @param body - the request's body
 * @returns whether the target would see the secret
 */
export function isKeyExposed(
  authorization: string | undefined,
  url: string,
  headers: readonly Header[],
  body: Buffer,
): boolean {
  const secret = API_KEY_PATTERN.exec(authorization ?? '')?.[1];
  if (secret === undefined) return false;
  return (
    url.includes(secret) ||
    headers.some((header) => header.value.includes(secret)) ||
    body.includes(secret)
  );
}
