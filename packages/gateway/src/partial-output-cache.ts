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
// More than the log's stream of partial outputs holds, so that all recovered outputs fit.
const MAX_CHARS = 64_000_000;

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

interface StoredOutput {
  readonly output: PartialOutput;
  /** The total length of its events when it was stored. */
  readonly chars: number;
}

/** Holds a bounded number and size of partial outputs and evicts the oldest. */
export class PartialOutputCache {
  readonly #outputs = new Map<ItemFingerprint, StoredOutput>();

  #chars = 0;

  /** The total length of all events, in characters. */
  get chars(): number {
    return this.#chars;
  }

  /** Stores an output, which replaces an earlier one of the same fingerprint. */
  put(fingerprint: ItemFingerprint, output: PartialOutput): void {
    this.take(fingerprint);
    const chars = measureOutput(output);
    this.#outputs.set(fingerprint, { output, chars });
    this.#chars += chars;
    while (this.#outputs.size > MAX_OUTPUTS || this.#chars > MAX_CHARS) {
      const [oldest] = this.#outputs.keys();
      if (oldest === undefined) return;
      this.take(oldest);
    }
  }

  /** Removes and returns the output of a fingerprint. */
  take(fingerprint: ItemFingerprint): PartialOutput | undefined {
    const stored = this.#outputs.get(fingerprint);
    if (!stored) return undefined;
    this.#outputs.delete(fingerprint);
    this.#chars -= stored.chars;
    return stored.output;
  }
}

function measureOutput({ events }: PartialOutput): number {
  return events.reduce((chars, event) => chars + event.length, 0);
}
