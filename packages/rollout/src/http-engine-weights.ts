/** An engine's weights interface over HTTP. */
import {
  createFailure,
  type Failure,
  type Millis,
  type TrainerId,
  type WeightVersion,
} from '@hibiscushill/base';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Client } from 'undici';
import { z } from 'zod';

import { EngineWeights, type LoadOrder } from './engine-weights';
import type { WeightState } from './weight-orders';

/** Where the engine is, and the deadlines of its calls. */
export interface HttpEngineOptions {
  /** The engine's base URL. */
  readonly url: string;
  /** How long an order to load may go unanswered, in milliseconds. */
  readonly loadMs?: Millis;
  /** How long a question may go unanswered, in milliseconds. */
  readonly stateMs?: Millis;
}

const DEFAULT_LOAD_MS: Millis = 10_000;
const DEFAULT_STATE_MS: Millis = 1000;

const StateAnswer = z.object({
  version: z.number().int().min(0),
  highestFencing: z.number().default(-1),
  loading: z.boolean().default(false),
});

/** Talks to one engine. Each call has a connection of its own, destroyed at the call's deadline. */
export class HttpEngineWeights extends EngineWeights {
  readonly #options: HttpEngineOptions;

  /** @param options - the engine's URL and deadlines */
  constructor(options: HttpEngineOptions) {
    super();
    this.#options = options;
  }

  override load(order: LoadOrder): ResultAsync<void, Failure> {
    const timeoutMs = this.#options.loadMs ?? DEFAULT_LOAD_MS;
    return this.#call('POST', '/weights', timeoutMs, order).andThen(({ status, text }) => {
      if (status === 200) return ok(undefined);
      if (status === 409) return err(createFailure('fencing_stale', { detail: text }));
      return err(createFailure('swap_failed', { detail: `status ${status}` }));
    });
  }

  override state(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const timeoutMs = this.#options.stateMs ?? DEFAULT_STATE_MS;
    const path = `/weights?trainer=${encodeURIComponent(trainer)}`;
    return this.#call('GET', path, timeoutMs).andThen(({ status, text }) => {
      if (status !== 200) return err(createFailure('target_down', { detail: `status ${status}` }));
      return parseState(text);
    });
  }

  #call(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: Millis,
    body?: object,
  ): ResultAsync<{ status: number; text: string }, Failure> {
    return ResultAsync.fromPromise(this.#send(method, path, timeoutMs, body), (error) =>
      createFailure('outcome_unknown', { detail: String(error), run: 'may-have-run' }),
    );
  }

  async #send(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: Millis,
    body?: object,
  ): Promise<{ status: number; text: string }> {
    const client = new Client(new URL(this.#options.url).origin, { pipelining: 1 });
    try {
      const res = await client.request({
        method,
        path,
        signal: AbortSignal.timeout(timeoutMs),
        headers: { 'content-type': 'application/json' },
        body: body ? JSON.stringify(body) : null,
      });
      return { status: res.statusCode, text: await res.body.text() };
    } finally {
      // Nothing of this call may reach the engine after its deadline.
      await client.destroy();
    }
  }
}

function parseState(text: string): Result<WeightState, Failure> {
  const parsed = StateAnswer.safeParse(parseJson(text));
  if (!parsed.success) return err(createFailure('target_down', { detail: 'no weight state' }));
  const { highestFencing, loading, version } = parsed.data;
  return ok({ version: version as WeightVersion, highestFencing, loading });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
