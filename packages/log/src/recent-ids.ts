/** The ids of the newest records that a reader has seen, in bounded memory. */
import type { Offset, RecordId } from '@hibiscushill/base';
import { type Option, fromNullable } from 'fp-ts/Option';

/** A set of recent record ids with their offsets; the oldest id is removed when it is full. */
export class RecentIds {
  readonly #capacity: number;

  readonly #offsets = new Map<RecordId, Offset>();

  /** @param capacity - the maximum number of ids */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Adds an id with the offset of its first record.
   *
   * @returns false when the set contains the id already; its offset then stays
   */
  add(id: RecordId, offset: Offset): boolean {
    if (this.#offsets.has(id)) return false;
    this.#offsets.set(id, offset);
    if (this.#offsets.size > this.#capacity) this.#removeOldest();
    return true;
  }

  /** Returns the offset of the first record with an id; none when the set doesn't contain it. */
  findOffset(id: RecordId): Option<Offset> {
    return fromNullable(this.#offsets.get(id));
  }

  #removeOldest(): void {
    const oldest = this.#offsets.keys().next();
    if (!oldest.done) this.#offsets.delete(oldest.value);
  }
}
