/** Loading of submissions' items, which are stored apart from the submissions' records. */
import type { Failure } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

import type { ItemSpec } from './caller-port';
import type { Submission, SubmissionRegistry } from './submission';
import type { PayloadStore } from './payload-store';
import { parseItemPart } from './submission-records';

type LoadResult = Result<readonly ItemSpec[], Failure>;

/** Loads the items of submissions, and caches those of open ones. */
export class ItemLoader {
  readonly #payloads: PayloadStore;

  readonly #loaded = new WeakMap<Submission, readonly ItemSpec[]>();

  /** The loads in progress, which all that need the items of a submission share. */
  readonly #loads = new WeakMap<Submission, Promise<LoadResult>>();

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
  async load(submission: Submission): Promise<LoadResult> {
    const loaded = this.#loaded.get(submission);
    if (loaded) return ok(loaded);
    const load = this.#loads.get(submission) ?? this.#read(submission);
    this.#loads.set(submission, load);
    const result = await load;
    this.#loads.delete(submission);
    return result;
  }

  async #read(submission: Submission): Promise<LoadResult> {
    const parts = await this.#payloads.get(submission.itemPartRefs);
    if (parts.isErr()) return err(parts.error);
    const items = parts.value.flatMap(parseItemPart);
    if (submission.isOpen) this.#loaded.set(submission, items);
    return ok(items);
  }
}
