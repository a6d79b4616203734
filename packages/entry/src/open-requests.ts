/** The requests that are open at this entry, so that a withdrawn key can end them. */
import type { KeyId, RequestId } from '@hibiscushill/base';
import { type ConfigStore, checkKeyId } from '@hibiscushill/config';

/** An open request. */
export interface OpenRequest {
  readonly id: RequestId;
  readonly key: KeyId | '';
  /** Ends the request because its key no longer counts. */
  readonly cut: () => void;
}

/** Every open request of an entry. */
export class OpenRequests {
  readonly #requests = new Map<RequestId, OpenRequest>();

  /** @param config - whose changes are followed */
  constructor(config: ConfigStore) {
    config.onChange((view) => {
      this.#requests.forEach((open) => {
        if (open.key !== '' && checkKeyId(view, open.key).isErr()) open.cut();
      });
    });
  }

  /** How many requests are open. */
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
