/** Partial outputs that a later item with the same request may resume. */
import { createHash } from 'node:crypto';

import type { Brand } from '@hibiscushill/base';

import type { ItemSpec } from './caller-port';
import type { PartialOutput } from './item-task';
import type { SubmissionTerms } from './submission';

/** A hash of an item's request to an engine and of the team that it is for. */
export type ItemFingerprint = Brand<string, 'WorkFingerprint'>;

// Enough for several training steps of every trainer.
const MAX_OUTPUTS = 2_000;

/**
 * Computes an item's fingerprint. An item's id alone isn't enough: two teams may use the same one.
 *
 * @param terms - the terms of the item's submission
 * @param spec - the item
 * @returns a hash that is equal for items of one team with the same id and request
 */
export function createFingerprint(terms: SubmissionTerms, spec: ItemSpec): ItemFingerprint {
  const { team, host, model } = terms;
  const request = [team, host, model, spec.id, spec.path, spec.headers, spec.body];
  return createHash('sha256')
    .update(JSON.stringify(request))
    .digest('base64url') as ItemFingerprint;
}

/** Holds a bounded number of partial outputs and evicts the oldest. */
export class PartialOutputCache {
  readonly #outputs = new Map<ItemFingerprint, PartialOutput>();

  /** Stores an output, which replaces an earlier one of the same fingerprint. */
  put(fingerprint: ItemFingerprint, output: PartialOutput): void {
    this.#outputs.delete(fingerprint);
    this.#outputs.set(fingerprint, output);
    const [oldest] = this.#outputs.keys();
    if (this.#outputs.size > MAX_OUTPUTS && oldest !== undefined) this.#outputs.delete(oldest);
  }

  /** Removes and returns the output of a fingerprint. */
  take(fingerprint: ItemFingerprint): PartialOutput | undefined {
    const output = this.#outputs.get(fingerprint);
    this.#outputs.delete(fingerprint);
    return output;
  }
}
