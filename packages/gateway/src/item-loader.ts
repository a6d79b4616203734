/** Loading of submissions' items, which are stored apart from the submissions' records. */
import type { Failure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

import type { ItemSpec } from './caller-port';
import type { Submission, SubmissionRegistry } from './submission';
import type { PayloadStore } from './payload-store';
import { parseItemPart } from './submission-records';

/** Loads the items of submissions, and caches those of open ones. */
export class ItemLoader {
  readonly #payloads: PayloadStore;

  readonly #loaded = new WeakMap<Submission, readonly ItemSpec[]>();

  /**
   * @param payloads - the store that holds the items
   * @param submissions - those whose items are kept while they are open
   */
  constructor(payloads: PayloadStore, submissions: SubmissionRegistry) {
    this.#payloads = payloads;
    submissions.onChanged(({ submission }) => {
      if (!submission.isOpen) this.#loaded.delete(submission);
    });
  }

  /** Loads a submission's items; a failed load may be tried again. */
  async load(submission: Submission): Promise<Result<readonly ItemSpec[], Failure>> {
    const loaded = this.#loaded.get(submission);
    if (loaded) return ok(loaded);
    const parts = await this.#payloads.get(submission.itemPartRefs);
    if (parts.isErr()) return err(parts.error);
    const items = parts.value.flatMap(parseItemPart);
    if (submission.isOpen) this.#loaded.set(submission, items);
    return ok(items);
  }
}
