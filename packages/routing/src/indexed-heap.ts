/** A binary heap whose members can be found, moved and removed by key. */

interface Entry<K, T> {
  readonly key: K;
  value: T;
  readonly rank: number;
  readonly order: number;
}

/** Keeps members by rank, lowest first; equal ranks in the order of their insertion. */
export class IndexedHeap<K, T> {
  readonly #entries: Entry<K, T>[] = [];

  readonly #positions = new Map<K, number>();

  #nextOrder = 0;

  /** How many members there are. */
  get size(): number {
    return this.#entries.length;
  }

  /**
   * Adds a member, or replaces the one with the same key. At an equal rank it keeps its place.
   *
   * @param key - the member's key
   * @param value - the member
   * @param rank - its rank
   */
  set(key: K, value: T, rank: number): void {
    const position = this.#positions.get(key);
    if (position !== undefined && this.#at(position).rank === rank) {
      this.#at(position).value = value;
      return;
    }
    this.remove(key);
    this.#entries.push({ key, value, rank, order: this.#nextOrder });
    this.#nextOrder += 1;
    this.#positions.set(key, this.#entries.length - 1);
    this.#moveUp(this.#entries.length - 1);
  }

  /**
   * Reads the member with the lowest rank.
   *
   * @returns the member and its rank, or undefined when the heap is empty
   */
  peek(): { readonly key: K; readonly value: T; readonly rank: number } | undefined {
    return this.#entries[0];
  }

  /**
   * Looks a member up.
   *
   * @param key - the member's key
   * @returns the member, or undefined
   */
  get(key: K): T | undefined {
    const position = this.#positions.get(key);
    return position === undefined ? undefined : this.#at(position).value;
  }

  /**
   * Removes a member.
   *
   * @param key - the member's key
   * @returns the member, or undefined
   */
  remove(key: K): T | undefined {
    const position = this.#positions.get(key);
    if (position === undefined) return undefined;
    const removed = this.#at(position);
    const last = this.#entries.pop() as Entry<K, T>;
    this.#positions.delete(key);
    if (last !== removed) {
      this.#place(last, position);
      this.#moveDown(position);
      this.#moveUp(position);
    }
    return removed.value;
  }

  #moveUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (!isBefore(this.#at(position), this.#at(parent))) return;
      this.#swap(position, parent);
      position = parent;
    }
  }

  #moveDown(start: number): void {
    let position = start;
    for (;;) {
      const child = this.#lesserChild(position);
      if (child === undefined || !isBefore(this.#at(child), this.#at(position))) return;
      this.#swap(position, child);
      position = child;
    }
  }

  #lesserChild(position: number): number | undefined {
    const left = 2 * position + 1;
    const right = left + 1;
    if (left >= this.#entries.length) return undefined;
    if (right >= this.#entries.length) return left;
    return isBefore(this.#at(right), this.#at(left)) ? right : left;
  }

  #swap(one: number, other: number): void {
    const entry = this.#at(one);
    this.#place(this.#at(other), one);
    this.#place(entry, other);
  }

  #place(entry: Entry<K, T>, position: number): void {
    this.#entries[position] = entry;
    this.#positions.set(entry.key, position);
  }

  #at(position: number): Entry<K, T> {
    return this.#entries[position] as Entry<K, T>;
  }
}

function isBefore(one: Entry<unknown, unknown>, other: Entry<unknown, unknown>): boolean {
  return one.rank < other.rank || (one.rank === other.rank && one.order < other.order);
}
