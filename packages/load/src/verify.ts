/** Checks that a response is complete and belongs to its request. */
import { z } from 'zod';

import type { PlannedRequest } from './arrivals';

/**
 * The outcome of a request: `answered` with a complete response of its own, `wrong` with the
 * response of another request or of another length, `clipped` with an incomplete one,
 * `unreachable` without a response, or refused with the name of a result code or a status.
 */
export type Verdict = 'answered' | 'wrong' | 'clipped' | 'unreachable' | `refused.${string}`;

/** The status and body of a response. */
export interface ReceivedResponse {
  readonly status: number;
  readonly text: string;
}

const Refusal = z.object({ code: z.number(), name: z.string(), run: z.string() });
const Token = z.object({ i: z.number(), t: z.string() });
const LastLine = z.object({ done: z.literal(true), tokens: z.number() });
const GenerateBody = z.object({ maxTokens: z.number() });

/**
 * Checks a response as its route's `expect` says. An error status is always a refusal.
 *
 * @param planned - the request
 * @param res - the response
 * @returns the verdict, never `unreachable`
 */
export function verifyResponse(planned: PlannedRequest, res: ReceivedResponse): Verdict {
  if (res.status >= 400) return classifyRefusal(res);
  const { expect } = planned.route;
  if (expect === 'tokens') return verifyTokenStream(planned, res.text);
  if (expect === 'any') return 'answered';
  if (parseJson(res.text) === undefined) return 'clipped';
  return res.text.includes(planned.id) ? 'answered' : 'wrong';
}

function classifyRefusal({ status, text }: ReceivedResponse): Verdict {
  const refusal = Refusal.safeParse(parseJson(text));
  return refusal.success ? `refused.${refusal.data.name}` : `refused.status_${status}`;
}

/** Checks JSON lines of tokens, numbered from 0, and a last line with their count. */
function verifyTokenStream(planned: PlannedRequest, text: string): Verdict {
  const lines = text.trimEnd().split('\n').map(parseJson);
  const last = LastLine.safeParse(lines.pop());
  if (!last.success) return 'clipped';
  const isInOrder = lines.every((line, index) => {
    const token = Token.safeParse(line);
    return token.success && token.data.i === index;
  });
  const requestBody = GenerateBody.safeParse(parseJson(planned.route.body ?? ''));
  const isComplete = lines.length === last.data.tokens;
  if (!isInOrder || !isComplete) return 'clipped';
  return !requestBody.success || requestBody.data.maxTokens === lines.length ? 'answered' : 'wrong';
}

/** Parses JSON, or returns undefined when the text is not valid JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
