/** A binary min-heap whose items can be found, re-ranked and removed by key. */

interface HeapNode<K, T> {
  readonly key: K;
  value: T;
  readonly rank: number;
  /** Breaks ties between equal ranks. */
  readonly insertionNumber: number;
}

/** A priority queue, lowest rank first. Items of equal rank come in the order of insertion. */
export class IndexedHeap<K, T> {
  readonly #nodes: HeapNode<K, T>[] = [];

  readonly #positions = new Map<K, number>();

  #nextInsertionNumber = 0;

  /** The number of items. */
  get size(): number {
    return this.#nodes.length;
  }

  /**
   * Adds an item, or replaces the item with the same key. A replacement of equal rank keeps its
   * position among its equals.
   *
   * @param key - the item's key
   * @param value - the item
   * @param rank - the item's rank
   */
  set(key: K, value: T, rank: number): void {
    const position = this.#positions.get(key);
    if (position !== undefined && this.#nodeAt(position).rank === rank) {
      this.#nodeAt(position).value = value;
      return;
    }
    this.remove(key);
    this.#nodes.push({ key, value, rank, insertionNumber: this.#nextInsertionNumber });
    this.#nextInsertionNumber += 1;
    this.#positions.set(key, this.#nodes.length - 1);
    this.#siftUp(this.#nodes.length - 1);
  }

  /**
   * Returns the item with the lowest rank without removing it.
   *
   * @returns the item with its key and rank, or undefined when the heap is empty
   */
  peek(): { readonly key: K; readonly value: T; readonly rank: number } | undefined {
    return this.#nodes[0];
  }

  /**
   * Looks up an item.
   *
   * @param key - the item's key
   * @returns the item, or undefined when there is none
   */
  get(key: K): T | undefined {
    const position = this.#positions.get(key);
    return position === undefined ? undefined : this.#nodeAt(position).value;
  }

  /**
   * Removes an item.
   *
   * @param key - the item's key
   * @returns the removed item, or undefined when there was none
   */
  remove(key: K): T | undefined {
    const position = this.#positions.get(key);
    if (position === undefined) return undefined;
    const removed = this.#nodeAt(position);
    const last = this.#nodes.pop() as HeapNode<K, T>;
    this.#positions.delete(key);
    if (last !== removed) {
      this.#place(last, position);
      this.#siftDown(position);
      this.#siftUp(position);
    }
    return removed.value;
  }

  #siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (!isBefore(this.#nodeAt(position), this.#nodeAt(parent))) return;
      this.#swap(position, parent);
      position = parent;
    }
  }

  #siftDown(start: number): void {
    let position = start;
    for (;;) {
      const child = this.#smallerChild(position);
      if (child === undefined || !isBefore(this.#nodeAt(child), this.#nodeAt(position))) return;
      this.#swap(position, child);
      position = child;
    }
  }

  /** Returns the position of the child that comes first, or undefined for a leaf. */
  #smallerChild(position: number): number | undefined {
    const left = 2 * position + 1;
    const right = left + 1;
    if (left >= this.#nodes.length) return undefined;
    if (right >= this.#nodes.length) return left;
    return isBefore(this.#nodeAt(right), this.#nodeAt(left)) ? right : left;
  }

  #swap(a: number, b: number): void {
    const node = this.#nodeAt(a);
    this.#place(this.#nodeAt(b), a);
    this.#place(node, b);
  }

  #place(node: HeapNode<K, T>, position: number): void {
    this.#nodes[position] = node;
    this.#positions.set(node.key, position);
  }

  #nodeAt(position: number): HeapNode<K, T> {
    return this.#nodes[position] as HeapNode<K, T>;
  }
}

function isBefore(a: HeapNode<unknown, unknown>, b: HeapNode<unknown, unknown>): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.insertionNumber < b.insertionNumber);
}
