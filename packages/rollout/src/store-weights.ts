/** Weights from the platform's store. */
import { createHash } from 'node:crypto';

import type { Failure, TrainerId, WeightVersion } from '@hibiscushill/base';
import type { WeightStore } from '@hibiscushill/platform';
import type { ResultAsync } from 'neverthrow';

import { WeightSource } from './engine-weights';

/** Fetches weights from the store and names them by their digest. */
export class StoreWeights extends WeightSource {
  readonly #store: WeightStore;

  /** @param store - the store's client */
  constructor(store: WeightStore) {
    super();
    this.#store = store;
  }

  override fetch(trainer: TrainerId, version: WeightVersion): ResultAsync<string, Failure> {
    return this.#store.fetch(trainer, version).map((bytes) => {
      const digest = createHash('sha256').update(bytes).digest('hex');
      return `${trainer}/${version}#${digest}`;
    });
  }
}
