/** Recognises usage that the log has already. */
import { createHash } from 'node:crypto';

import type { Millis, RequestId, WallTime } from '@hibiscushill/base';

import type { UsageDelta, UsageState } from './records';

const DIGEST_LENGTH = 12;
const SEQUENCE_KEEP_MS = 24 * 60 * 60 * 1_000;

interface LastSequence {
  readonly seq: number;
  readonly at: WallTime;
}

/**
 * Knows which batches and requests have been counted. A request is remembered for one to two
 * periods of the log's own time, alike by every reader.
 */
export class UsageRepeats {
  readonly #periodMs: Millis;

  readonly #periods = new Map<number, Set<string>>();

  readonly #sequences = new Map<string, LastSequence>();

  /** @param periodMs - for how long a request is remembered at least, in milliseconds */
  constructor(periodMs: Millis) {
    this.#periodMs = periodMs;
  }

  /**
   * Takes a batch's number. A process sends its batches one after the other and repeats one until
   * it is answered, so a number that doesn't rise is a repeat.
   *
   * @returns whether the batch is new
   */
  addBatch(delta: UsageDelta, at: WallTime): boolean {
    const last = this.#sequences.get(delta.incarnation);
    if (last && delta.seq <= last.seq) return false;
    this.#sequences.delete(delta.incarnation);
    this.#sequences.set(delta.incarnation, { seq: delta.seq, at });
    this.#dropOldSequences(at);
    return true;
  }

  /**
   * Takes a request.
   *
   * @returns whether it is new
   */
  addRequest(request: RequestId, at: WallTime): boolean {
    const period = Math.floor(at / this.#periodMs);
    const digest = digestOf(request);
    const isKnown = [period - 1, period, period + 1].some((other) =>
      this.#periods.get(other)?.has(digest),
    );
    if (isKnown) return false;
    this.#periodOf(period).add(digest);
    return true;
  }

  /** Writes what is known into a snapshot's state. */
  save(): Pick<UsageState, 'seen' | 'sequences'> {
    return {
      seen: [...this.#periods].map(([period, digests]) => ({ period, digests: [...digests] })),
      sequences: [...this.#sequences].map(([incarnation, last]) => ({ incarnation, ...last })),
    };
  }

  /** Takes over what a snapshot's state knows. */
  load(state: Pick<UsageState, 'seen' | 'sequences'>): void {
    this.#periods.clear();
    this.#sequences.clear();
    state.seen.forEach((entry) => this.#periods.set(entry.period, new Set(entry.digests)));
    state.sequences.forEach(({ incarnation, seq, at }) =>
      this.#sequences.set(incarnation, { seq, at }),
    );
  }

  #periodOf(period: number): Set<string> {
    const known = this.#periods.get(period);
    if (known) return known;
    const created = new Set<string>();
    this.#periods.set(period, created);
    const newest = Math.max(...this.#periods.keys());
    [...this.#periods.keys()]
      .filter((other) => other < newest - 1)
      .forEach((other) => this.#periods.delete(other));
    return created;
  }

  #dropOldSequences(at: WallTime): void {
    for (const [incarnation, last] of this.#sequences) {
      if (at - last.at <= SEQUENCE_KEEP_MS) return;
      this.#sequences.delete(incarnation);
    }
  }
}

function digestOf(request: RequestId): string {
  return createHash('sha256').update(request).digest('base64url').slice(0, DIGEST_LENGTH);
}
