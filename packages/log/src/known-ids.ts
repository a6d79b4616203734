/** The ids of the records that a reader met lately, in bounded memory. */
import type { Offset, RecordId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

/** Remembers the newest ids and forgets the oldest. */
export class KnownIds {
  readonly #capacity: number;

  readonly #offsets = new Map<RecordId, Offset>();

  /** @param capacity - the most ids to remember */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Remembers an id at the offset where it came first.
   *
   * @returns false when the id is known already
   */
  add(id: RecordId, offset: Offset): boolean {
    if (this.#offsets.has(id)) return false;
    this.#offsets.set(id, offset);
    if (this.#offsets.size > this.#capacity) this.#forgetOldest();
    return true;
  }

  /** Looks up where an id came first. */
  find(id: RecordId): Option<Offset> {
    return fromNullable(this.#offsets.get(id));
  }

  #forgetOldest(): void {
    const oldest = this.#offsets.keys().next();
    if (!oldest.done) this.#offsets.delete(oldest.value);
  }
}
