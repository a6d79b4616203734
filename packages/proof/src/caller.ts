/** Callers that know the right answer to each of their requests. */
import { createTokens } from '@hibiscushill/fakes';
import { Agent, type Dispatcher } from 'undici';

import type { Cluster } from './cluster';
import type { CallKind, CallRecord } from './history';

const HTTP_OK = 200;
const CALL_TIMEOUT_MS = 20_000;
const GENERATED_TOKENS = 24;

// An order takes effect at once and is answered later, so that faults fall in between.
const ORDER_MS = 300;

/** One call to make. */
export interface CallPlan {
  readonly id: string;
  readonly kind: CallKind;
  readonly team: string;
}

interface Outcome {
  readonly status: number;
  readonly isClean: boolean;
  readonly text: string;
  readonly requestId: string;
}

interface RefusalText {
  readonly code?: number;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/** Makes calls to a deployment. */
export class Caller {
  readonly #cluster: Cluster;

  // No kept connection: a call's failure then says something about this call alone.
  readonly #agent = new Agent({ pipelining: 0, connections: 512 });

  /** @param cluster - the deployment */
  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /**
   * Makes a call and judges the answer.
   *
   * @param plan - the call
   * @param entry - the entry's base URL
   * @returns what was seen
   */
  async call(plan: CallPlan, entry: string): Promise<CallRecord> {
    const invokedAt = performance.now();
    const outcome = await this.#send(plan, entry);
    const refusal = outcome.status === HTTP_OK ? {} : parseRefusal(outcome.text);
    return {
      ...plan,
      entry,
      invokedAt,
      returnedAt: performance.now(),
      status: outcome.status,
      isClean: outcome.isClean,
      isRight: isRight(plan, outcome),
      ...refusal,
    };
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(plan: CallPlan, entry: string): Promise<Outcome> {
    try {
      const res = await this.#agent.request({
        ...describe(plan),
        origin: entry,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: {
          'content-type': 'application/json',
          'x-request-id': plan.id,
          ...(plan.kind !== 'echo' && { authorization: this.#cluster.authorization(plan.team) }),
        },
      });
      return await read(res);
    } catch {
      return { status: 0, isClean: false, text: '', requestId: '' };
    }
  }
}

async function read(res: Dispatcher.ResponseData): Promise<Outcome> {
  const requestId = String(res.headers['x-request-id'] ?? '');
  try {
    const text = await res.body.text();
    return { status: res.statusCode, isClean: true, text, requestId };
  } catch {
    return { status: res.statusCode, isClean: false, text: '', requestId };
  }
}

function describe(plan: CallPlan): Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'body'> {
  switch (plan.kind) {
    case 'generate': {
      const body = JSON.stringify({ prompt: plan.id, maxTokens: GENERATED_TOKENS });
      return { method: 'POST', path: '/s/tasting-models/generate', body };
    }
    case 'order':
      return {
        method: 'POST',
        path: `/s/sales-desk/orders?delayMs=${ORDER_MS}`,
        body: JSON.stringify({ for: plan.id }),
      };
    case 'look-up':
      return { method: 'GET', path: `/s/sales-desk/lots/${plan.id}` };
    default:
      return { method: 'GET', path: `/s/sales-desk/echo?for=${plan.id}` };
  }
}

function isRight(plan: CallPlan, outcome: Outcome): boolean {
  if (outcome.status !== HTTP_OK || !outcome.isClean) return false;
  if (!outcome.requestId.startsWith(`${plan.id}~`)) return false;
  if (plan.kind === 'generate') return isRightText(plan.id, outcome.text);
  const body = JSON.parse(outcome.text) as { requestId: string; lot?: string; order?: string };
  if (!body.requestId.startsWith(`${plan.id}~`)) return false;
  if (plan.kind === 'look-up') return body.lot === plan.id;
  return plan.kind !== 'order' || body.order === JSON.stringify({ for: plan.id });
}

function isRightText(prompt: string, text: string): boolean {
  const lines = text.trim().split('\n');
  const tokens = lines.slice(0, -1).map((line) => (JSON.parse(line) as { t: string }).t);
  const expected = createTokens(prompt, GENERATED_TOKENS);
  return tokens.length === expected.length && tokens.every((token, at) => token === expected[at]);
}

function parseRefusal(text: string): RefusalText {
  try {
    const { code, run, retryAfterMs, detail } = JSON.parse(text) as RefusalText;
    return {
      ...(code !== undefined && { code }),
      ...(run !== undefined && { run }),
      ...(retryAfterMs !== undefined && { retryAfterMs }),
      ...(detail !== undefined && { detail }),
    };
  } catch {
    return {};
  }
}
