/** Restricts load to loopback addresses, so that no other machine receives it. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

const LOOPBACK_HOST = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;

/**
 * Parses a base URL.
 *
 * @param text - the URL
 * @returns the URL's origin without its path, or `request_invalid` when the URL isn't plain
 *   HTTP on a loopback address
 */
export function parseLoopbackUrl(text: string): Result<string, Failure> {
  if (!URL.canParse(text)) return rejectUrl(`"${text}" is not a URL.`);
  const url = new URL(text);
  if (url.protocol !== 'http:') return rejectUrl(`"${text}" is not an http URL.`);
  if (!LOOPBACK_HOST.test(url.hostname))
    return rejectUrl(`"${url.hostname}" is not a loopback address.`);
  return ok(url.origin);
}

function rejectUrl(detail: string): Result<string, Failure> {
  return err(createFailure('request_invalid', { detail }));
}
