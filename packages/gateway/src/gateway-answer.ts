/** Responses of the gateway itself. */
import { type CodeName, type Millis, RESULT_CODES, type RunState } from '@hibiscushill/base';

import type { GatewayAnswer } from './caller-port';

/**
 * Creates a response of the gateway itself.
 *
 * @param code - the result code
 * @param detail - what happened, for the log and the response body
 * @param options - whether the request may have run (`not-run` by default), and when to retry
 */
export function createGatewayAnswer(
  code: CodeName,
  detail: string,
  options: { readonly run?: RunState; readonly retryAfterMs?: Millis } = {},
): GatewayAnswer {
  const { run = 'not-run', retryAfterMs } = options;
  return { code, status: RESULT_CODES[code].status, run, detail, retryAfterMs };
}
