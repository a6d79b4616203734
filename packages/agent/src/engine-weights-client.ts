/** Loads and queries weights at the engine that the agent runs beside, over HTTP. */
import {
  type Failure,
  type Millis,
  type TrainerId,
  type WeightVersion,
  createFailure,
} from '@hibiscushill/base';
import {
  EngineWeightsClient,
  type LoadOrder,
  WeightFetcher,
  type WeightState,
} from '@hibiscushill/rollout';
import type { WeightStore } from '@hibiscushill/log';
import { ResultAsync, err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { z } from 'zod';

const LOAD_TIMEOUT_MS: Millis = 15_000;
const STATE_TIMEOUT_MS: Millis = 2_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

const EngineState = z.object({
  version: z.number().int() as unknown as z.ZodType<WeightVersion>,
  highestFencing: z.number().int().default(-1),
  loading: z.boolean().default(false),
});

/** The HTTP status and the parsed JSON body of a response. */
interface EngineResponse {
  readonly status: number;
  readonly body: unknown;
}

/** The client of an engine's `/weights` endpoint. */
export class HttpEngineWeightsClient extends EngineWeightsClient {
  readonly #url: string;

  // Each call has a connection of its own, so that a stalled connection is never reused.
  readonly #dispatcher = new Agent({ pipelining: 0 });

  /** @param url - the engine's base URL */
  constructor(url: string) {
    super();
    this.#url = url.replace(/\/$/, '');
  }

  override load(order: LoadOrder): ResultAsync<void, Failure> {
    return this.#call('POST', '/weights', LOAD_TIMEOUT_MS, order).andThen((response) => {
      if (response.status === HTTP_OK) return ok(undefined);
      const detail = `status ${response.status}`;
      return err(
        createFailure(response.status === HTTP_CONFLICT ? 'fencing_stale' : 'swap_failed', {
          detail,
        }),
      );
    });
  }

  override readState(trainer: TrainerId): ResultAsync<WeightState, Failure> {
    const path = `/weights?trainer=${encodeURIComponent(trainer)}`;
    return this.#call('GET', path, STATE_TIMEOUT_MS).andThen((response) => {
      const state = EngineState.safeParse(response.body);
      return state.success ? ok(state.data) : err(createFailure('target_down'));
    });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  #call(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: Millis,
    body?: object,
  ): ResultAsync<EngineResponse, Failure> {
    const response = request(`${this.#url}${path}`, {
      method,
      dispatcher: this.#dispatcher,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body && {
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
      }),
    }).then(async (res) => ({ status: res.statusCode, body: await res.body.json() }));
    return ResultAsync.fromPromise(response, (reason) =>
      createFailure('outcome_unknown', { detail: String(reason), run: 'may-have-run' }),
    );
  }
}

/** Requests weights from the platform's store; the engine itself reads them from the store. */
export class StoreWeightFetcher extends WeightFetcher {
  readonly #store: WeightStore;

  /** @param store - the store's client */
  constructor(store: WeightStore) {
    super();
    this.#store = store;
  }

  /** Returns the path in the store that the engine reads the weights from. */
  override fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure> {
    return this.#store
      .fetch(trainer, version)
      .map(() => `/v1/weights/${encodeURIComponent(trainer)}/${version}`);
  }
}
