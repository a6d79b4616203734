/** The rate-limited store of weights. */
import type { Failure, Millis, TrainerId, WeightVersion } from '@hibiscushill/base';
import { ResultAsync, err, ok } from 'neverthrow';

import { HttpClient, type HttpClientOptions, classifyRefusal } from './http-client';

const FETCH_TIMEOUT_MS = 30_000;

/** How weights are fetched. */
export interface FetchOptions {
  /** The deadline of the whole transfer, in milliseconds. */
  readonly timeoutMs?: Millis;
  readonly signal?: AbortSignal;
}

/** The client of the weight store. */
export class WeightStore {
  readonly #client: HttpClient;

  /** @param options - the store's URL and the deadlines in milliseconds */
  constructor(options: HttpClientOptions) {
    this.#client = new HttpClient(options);
  }

  /**
   * Fetches weights. Over the store's rate it fails with `platform_down` and `retryAfterMs`.
   *
   * @param trainer - the trainer
   * @param version - the weight version
   * @param options - the deadline and an early end
   * @returns the weights
   */
  fetch(
    trainer: TrainerId,
    version: WeightVersion,
    options: FetchOptions = {},
  ): ResultAsync<Uint8Array, Failure> {
    const path = `/v1/weights/${encodeURIComponent(trainer)}/${version}`;
    const { timeoutMs = FETCH_TIMEOUT_MS, signal } = options;
    return this.#client
      .send({ method: 'GET', path, timeoutMs, ...(signal && { signal }) })
      .andThen((answer) =>
        answer.status === 200 ? ok(answer.body) : err(classifyRefusal(answer)),
      );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}
