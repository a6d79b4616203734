/** A client of the weight store, from which agents fetch model weights. */
import type { Failure, Millis, TrainerId, WeightVersion } from '@hibiscushill/base';
import { ResultAsync, err, ok } from 'neverthrow';

import { HttpClient, type HttpClientOptions, createStatusFailure } from './http-transport';

const DEFAULT_FETCH_TIMEOUT_MS = 30_000;

/** The deadline and the cancellation of a fetch. */
export interface FetchOptions {
  /** The deadline of the whole transfer, in milliseconds. */
  readonly timeoutMs?: Millis;
  /** Cancels the transfer. */
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
   * Fetches a version of a trainer's weights. Fails with `platform_down` and `retryAfterMs` when
   * the store's rate limit is exceeded.
   *
   * @param trainer - the trainer
   * @param version - the weight version
   * @param options - the deadline and the cancellation
   * @returns the bytes of the weights
   */
  fetch(
    trainer: TrainerId,
    version: WeightVersion,
    options: FetchOptions = {},
  ): ResultAsync<Uint8Array, Failure> {
    const path = `/v1/weights/${encodeURIComponent(trainer)}/${version}`;
    const { timeoutMs = DEFAULT_FETCH_TIMEOUT_MS, signal } = options;
    return this.#client
      .send({ method: 'GET', path, timeoutMs, ...(signal && { signal }) })
      .andThen((response) =>
        response.status === 200 ? ok(response.body) : err(createStatusFailure(response)),
      );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}
