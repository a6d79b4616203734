/** Recognises usage that was counted already. */
import { createHash } from 'node:crypto';

import type { Millis, RequestId, WallTime } from '@hibiscushill/base';

import type { UsageDelta, UsageState } from './records';

const DIGEST_CHARACTERS = 12; // 72 bits in base64url
const SEQUENCE_RETENTION_MS = 24 * 60 * 60 * 1_000;

interface LastSequence {
  readonly seq: number;
  readonly at: WallTime;
}

/**
 * Remembers which batches and requests were counted. A request is remembered for one to two periods
 * by the log's clock, so that every reader recognises the same duplicates.
 */
export class UsageDeduplicator {
  readonly #periodMs: Millis;

  readonly #digestsByPeriod = new Map<number, Set<string>>();

  readonly #lastSequences = new Map<string, LastSequence>();

  /** @param periodMs - how long a request is remembered at least, in milliseconds */
  constructor(periodMs: Millis) {
    this.#periodMs = periodMs;
  }

  /**
   * Adds a batch's number. A process sends one batch at a time and repeats it until the log
   * confirms it, so a batch whose number isn't higher than the last one is a duplicate.
   *
   * @param delta - the batch
   * @param at - when the log appended it
   * @returns whether the batch is new
   */
  addBatch(delta: UsageDelta, at: WallTime): boolean {
    const last = this.#lastSequences.get(delta.incarnation);
    if (last && delta.seq <= last.seq) return false;
    this.#lastSequences.delete(delta.incarnation);
    this.#lastSequences.set(delta.incarnation, { seq: delta.seq, at });
    this.#dropOldSequences(at);
    return true;
  }

  /**
   * Adds a request.
   *
   * @param request - the request's id
   * @param at - when the log appended its item
   * @returns whether the request is new
   */
  addRequest(request: RequestId, at: WallTime): boolean {
    const period = Math.floor(at / this.#periodMs);
    const digest = computeDigest(request);
    const isKnown = [period - 1, period, period + 1].some((other) =>
      this.#digestsByPeriod.get(other)?.has(digest),
    );
    if (isKnown) return false;
    this.#getDigests(period).add(digest);
    return true;
  }

  /** Returns the remembered batches and requests, for a snapshot. */
  save(): Pick<UsageState, 'seen' | 'sequences'> {
    return {
      seen: [...this.#digestsByPeriod].map(([period, digests]) => ({
        period,
        digests: [...digests],
      })),
      sequences: [...this.#lastSequences].map(([incarnation, last]) => ({ incarnation, ...last })),
    };
  }

  /** Replaces the remembered batches and requests by those of a snapshot. */
  load(state: Pick<UsageState, 'seen' | 'sequences'>): void {
    this.#digestsByPeriod.clear();
    this.#lastSequences.clear();
    state.seen.forEach((entry) => this.#digestsByPeriod.set(entry.period, new Set(entry.digests)));
    state.sequences.forEach(({ incarnation, seq, at }) =>
      this.#lastSequences.set(incarnation, { seq, at }),
    );
  }

  /** Returns the digests of a period; drops those of all periods but the newest two. */
  #getDigests(period: number): Set<string> {
    const known = this.#digestsByPeriod.get(period);
    if (known) return known;
    const created = new Set<string>();
    this.#digestsByPeriod.set(period, created);
    const newest = Math.max(...this.#digestsByPeriod.keys());
    [...this.#digestsByPeriod.keys()]
      .filter((other) => other < newest - 1)
      .forEach((other) => this.#digestsByPeriod.delete(other));
    return created;
  }

  #dropOldSequences(at: WallTime): void {
    for (const [incarnation, last] of this.#lastSequences) {
      if (at - last.at <= SEQUENCE_RETENTION_MS) return;
      this.#lastSequences.delete(incarnation);
    }
  }
}

function computeDigest(request: RequestId): string {
  return createHash('sha256').update(request).digest('base64url').slice(0, DIGEST_CHARACTERS);
}
