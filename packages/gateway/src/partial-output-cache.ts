/** Unfinished texts that a later run of the same work may take up. */
import { createHash } from 'node:crypto';

import type { Brand } from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import type { ItemText } from './item-task';
import type { SubmissionTerms } from './submission';

/** Stands for everything that was asked of an engine, and for whom. */
export type WorkFingerprint = Brand<string, 'WorkFingerprint'>;

// Some steps of every trainer; the oldest text makes room.
const MOST_TEXTS = 2_000;

/**
 * Works out what an item asks of an engine. Ids alone don't tell: two teams may use the same one.
 *
 * @param terms - the terms of the item's submission
 * @param spec - the item
 * @returns equal for items that ask the same for the same team
 */
export function createFingerprint(terms: SubmissionTerms, spec: ItemSpec): WorkFingerprint {
  const { team, host, model } = terms;
  const asked = [team, host, model, spec.id, spec.path, spec.headers, spec.body];
  return createHash('sha256').update(JSON.stringify(asked)).digest('base64url') as WorkFingerprint;
}

/** Keeps a bounded number of texts. */
export class TextShelf {
  readonly #texts = new Map<WorkFingerprint, ItemText>();

  /** Keeps a text; it replaces an earlier one of the same work. */
  put(work: WorkFingerprint, text: ItemText): void {
    this.#texts.delete(work);
    this.#texts.set(work, text);
    const [oldest] = this.#texts.keys();
    if (this.#texts.size > MOST_TEXTS && oldest !== undefined) this.#texts.delete(oldest);
  }

  /** Hands out the text of some work once. */
  take(work: WorkFingerprint): ItemText | undefined {
    const text = this.#texts.get(work);
    this.#texts.delete(work);
    return text;
  }
}
