/** The only addresses that the tool sends load to. */
import { type Failure, createFailure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

const LOOPBACK = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;

/**
 * Checks a base URL.
 *
 * @param text - the URL
 * @returns its origin, or `request_invalid` when it isn't plain HTTP on a loopback address
 */
export function parseLoopbackUrl(text: string): Result<string, Failure> {
  if (!URL.canParse(text)) return refuse(`${text} is not a URL.`);
  const url = new URL(text);
  if (url.protocol !== 'http:') return refuse(`${text} is not an http URL.`);
  if (!LOOPBACK.test(url.hostname)) return refuse(`${url.hostname} is not a loopback address.`);
  return ok(url.origin);
}

function refuse(detail: string): Result<string, Failure> {
  return err(createFailure('request_invalid', { detail }));
}
