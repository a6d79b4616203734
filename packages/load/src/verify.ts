/** Checks that an answer is the whole answer to its own request. */
import { z } from 'zod';

import type { PlannedRequest } from './arrivals';

/** What became of a request. A refusal has the name of its result code. */
export type Verdict = 'answered' | 'wrong' | 'clipped' | 'unreachable' | `refused.${string}`;

/** An answer, as it was received. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly text: string;
}

const Refusal = z.object({ code: z.number(), name: z.string(), run: z.string() });
const Token = z.object({ i: z.number(), t: z.string() });
const LastLine = z.object({ done: z.literal(true), tokens: z.number() });
const GenerateBody = z.object({ maxTokens: z.number() });

/**
 * Judges an answer.
 *
 * @param planned - the request
 * @param answer - the answer
 * @returns the verdict
 */
export function verify(planned: PlannedRequest, answer: ReceivedAnswer): Verdict {
  if (answer.status >= 400) return describeRefusal(answer);
  const { expect } = planned.route;
  if (expect === 'tokens') return verifyTokens(planned, answer.text);
  if (expect === 'any') return 'answered';
  if (parse(answer.text) === undefined) return 'clipped';
  return answer.text.includes(planned.id) ? 'answered' : 'wrong';
}

function describeRefusal({ status, text }: ReceivedAnswer): Verdict {
  const refusal = Refusal.safeParse(parse(text));
  return refusal.success ? `refused.${refusal.data.name}` : `refused.status_${status}`;
}

function verifyTokens(planned: PlannedRequest, text: string): Verdict {
  const lines = text.trimEnd().split('\n').map(parse);
  const last = LastLine.safeParse(lines.pop());
  if (!last.success) return 'clipped';
  const isInOrder = lines.every((line, index) => {
    const token = Token.safeParse(line);
    return token.success && token.data.i === index;
  });
  const wanted = GenerateBody.safeParse(parse(planned.route.body ?? ''));
  const isWhole = lines.length === last.data.tokens;
  if (!isInOrder || !isWhole) return 'clipped';
  return !wanted.success || wanted.data.maxTokens === lines.length ? 'answered' : 'wrong';
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
