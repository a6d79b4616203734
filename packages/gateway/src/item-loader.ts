/** The items of submissions, read when they are needed. */
import type { Failure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

import type { ItemSpec } from './caller-port';
import type { Submission } from './submission';
import type { TextStore } from './payload-store';
import { parseItems } from './submission-records';

/** Loads the items of submissions. */
export class ItemStore {
  readonly #texts: TextStore;

  readonly #loaded = new WeakMap<Submission, readonly ItemSpec[]>();

  /** @param texts - where the items stand */
  constructor(texts: TextStore) {
    this.#texts = texts;
  }

  /** Loads a submission's items; only a failure is asked for again. */
  async load(submission: Submission): Promise<Result<readonly ItemSpec[], Failure>> {
    const loaded = this.#loaded.get(submission);
    if (loaded) return ok(loaded);
    const parts = await this.#texts.get(submission.itemRefs);
    if (parts.isErr()) return err(parts.error);
    const items = parts.value.flatMap(parseItems);
    this.#loaded.set(submission, items);
    return ok(items);
  }
}
