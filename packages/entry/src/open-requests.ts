/** The open requests of this entry. A request is aborted when its API key is withdrawn. */
import type { KeyId, RequestId } from '@hibiscushill/base';
import { type ConfigStore, checkKeyId } from '@hibiscushill/config';

/** An open request. */
export interface OpenRequest {
  readonly id: RequestId;
  /** The id of the caller's API key; empty on a public route. */
  readonly key: KeyId | '';
  /** Ends the request because its API key is no longer valid. */
  readonly abort: () => void;
}

/** Tracks open requests, and checks their API keys after each configuration change. */
export class OpenRequests {
  readonly #requests = new Map<RequestId, OpenRequest>();

  /** @param config - the configuration, with the declared API keys */
  constructor(config: ConfigStore) {
    config.onChange((view) => {
      this.#requests.forEach((open) => {
        if (open.key !== '' && checkKeyId(view, open.key).isErr()) open.abort();
      });
    });
  }

  /** The number of open requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request. */
  add(request: OpenRequest): void {
    this.#requests.set(request.id, request);
  }

  /** Removes a request that has ended. */
  remove(id: RequestId): void {
    this.#requests.delete(id);
  }
}
