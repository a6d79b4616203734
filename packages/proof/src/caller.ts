/** Callers of a deployment. They know the expected response to each of their requests. */
import { createTokens } from '@hibiscushill/fakes';
import { Agent, type Dispatcher } from 'undici';

import type { Cluster } from './cluster';
import type { CallKind, CallRecord } from './history';

const HTTP_OK = 200;
const CALL_TIMEOUT_MS = 20_000;
const GENERATED_TOKENS = 24;

// The target applies an order at once and responds after this delay, so that faults can happen in
// between.
const ORDER_DELAY_MS = 300;

/** A call to make. */
export interface PlannedCall {
  /** Sent as `x-request-id`; a part of the expected response depends on it. */
  readonly id: string;
  readonly kind: CallKind;
  readonly team: string;
}

/** What a call got. */
interface CallResponse {
  /** The HTTP status; zero without a response. */
  readonly status: number;
  /** Whether the body was read to its end. */
  readonly isClean: boolean;
  /** The body; empty when it broke off. */
  readonly text: string;
  /** The response's `x-request-id`; empty without one. */
  readonly requestId: string;
}

/** The body of a refusal or failure. */
interface RefusalBody {
  readonly code?: number;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/** Makes calls to a deployment. */
export class Caller {
  readonly #cluster: Cluster;

  // Connections aren't reused, so that one call's failure can't be caused by an earlier call.
  readonly #dispatcher = new Agent({ pipelining: 0, connections: 512 });

  /** @param cluster - the deployment */
  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /**
   * Makes a call and compares its response with the expected one.
   *
   * @param planned - the call
   * @param entryUrl - the entry's base URL
   * @returns the record of the call, also when it fails
   */
  async call(planned: PlannedCall, entryUrl: string): Promise<CallRecord> {
    const invokedAt = performance.now();
    const response = await this.#send(planned, entryUrl);
    const refusal = response.status === HTTP_OK ? {} : parseRefusal(response.text);
    return {
      ...planned,
      entry: entryUrl,
      invokedAt,
      returnedAt: performance.now(),
      status: response.status,
      isClean: response.isClean,
      isRight: isExpectedResponse(planned, response),
      ...refusal,
    };
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #send(planned: PlannedCall, entryUrl: string): Promise<CallResponse> {
    try {
      const res = await this.#dispatcher.request({
        ...createRequest(planned),
        origin: entryUrl,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: {
          'content-type': 'application/json',
          'x-request-id': planned.id,
          ...(planned.kind !== 'echo' && {
            authorization: this.#cluster.createAuthorization(planned.team),
          }),
        },
      });
      return await readResponse(res);
    } catch {
      return { status: 0, isClean: false, text: '', requestId: '' };
    }
  }
}

async function readResponse(res: Dispatcher.ResponseData): Promise<CallResponse> {
  const requestId = String(res.headers['x-request-id'] ?? '');
  try {
    const text = await res.body.text();
    return { status: res.statusCode, isClean: true, text, requestId };
  } catch {
    return { status: res.statusCode, isClean: false, text: '', requestId };
  }
}

function createRequest(
  planned: PlannedCall,
): Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'body'> {
  switch (planned.kind) {
    case 'generate': {
      const body = JSON.stringify({ prompt: planned.id, maxTokens: GENERATED_TOKENS });
      return { method: 'POST', path: '/s/tasting-models/generate', body };
    }
    case 'order':
      return {
        method: 'POST',
        path: `/s/sales-desk/orders?delayMs=${ORDER_DELAY_MS}`,
        body: JSON.stringify({ for: planned.id }),
      };
    case 'look-up':
      return { method: 'GET', path: `/s/sales-desk/lots/${planned.id}` };
    default:
      return { method: 'GET', path: `/s/sales-desk/echo?for=${planned.id}` };
  }
}

function isExpectedResponse(planned: PlannedCall, response: CallResponse): boolean {
  if (response.status !== HTTP_OK || !response.isClean) return false;
  if (!response.requestId.startsWith(`${planned.id}~`)) return false;
  if (planned.kind === 'generate') return hasExpectedTokens(planned.id, response.text);
  const body = JSON.parse(response.text) as { requestId: string; lot?: string; order?: string };
  if (!body.requestId.startsWith(`${planned.id}~`)) return false;
  if (planned.kind === 'look-up') return body.lot === planned.id;
  return planned.kind !== 'order' || body.order === JSON.stringify({ for: planned.id });
}

function hasExpectedTokens(prompt: string, text: string): boolean {
  const lines = text.trim().split('\n');
  const tokens = lines.slice(0, -1).map((line) => (JSON.parse(line) as { t: string }).t);
  const expected = createTokens(prompt, GENERATED_TOKENS);
  return tokens.length === expected.length && tokens.every((token, i) => token === expected[i]);
}

function parseRefusal(text: string): RefusalBody {
  try {
    const { code, run, retryAfterMs, detail } = JSON.parse(text) as RefusalBody;
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
