/** The order in which waiting requests get a slot. */
import {
  type AttemptId,
  type Failure,
  type MonoTime,
  type TeamId,
  createFailure,
} from '@hibiscushill/base';
import { type Option, fromNullable, none } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import { IndexedHeap } from './indexed-heap';

/** A waiting request. */
export interface QueueItem<T> {
  readonly id: AttemptId;
  readonly team: TeamId;
  /** The team's weight; more than zero. */
  readonly weight: number;
  readonly costTokens: number;
  /** When it is no longer worth running. */
  readonly deadline: MonoTime;
  readonly value: T;
}

/** How much a queue may hold. */
export interface QueueBounds {
  readonly maxItems: number;
  readonly maxTokens: number;
}

/** Orders waiting requests. */
export abstract class QueuePolicy<T> {
  /**
   * Adds a request.
   *
   * @param item - the request; its id must not be in the queue
   * @returns the requests that have to be refused to make room, of which the new one may be one,
   *   or `queue_full`
   */
  abstract push(item: QueueItem<T>): Result<QueueItem<T>[], Failure>;

  /**
   * Removes the request that is next.
   *
   * @returns the request, or none when the queue is empty
   */
  abstract pop(): Option<QueueItem<T>>;

  /**
   * Removes a request wherever it stands.
   *
   * @param id - the request's attempt
   * @returns the request, or none when it isn't in the queue
   */
  abstract remove(id: AttemptId): Option<QueueItem<T>>;

  /**
   * Removes every request whose deadline has passed.
   *
   * @param now - the present time
   * @returns the removed requests, earliest deadline first
   */
  abstract takeExpired(now: MonoTime): QueueItem<T>[];

  /**
   * Charges a team for the difference between a request's actual and estimated cost.
   *
   * @param item - the request, which was popped before
   * @param actualTokens - its actual cost
   */
  abstract settle(item: QueueItem<T>, actualTokens: number): void;

  /** How many requests wait. */
  abstract get size(): number;

  /** The estimated cost of all that wait, in tokens. */
  abstract get tokens(): number;
}

/** First in, first out, without regard to teams. */
export class FifoQueue<T> extends QueuePolicy<T> {
  readonly #bounds: QueueBounds;

  readonly #items = new Map<AttemptId, QueueItem<T>>();

  readonly #deadlines = new IndexedHeap<AttemptId, QueueItem<T>>();

  #tokens = 0;

  /** @param bounds - how much the queue may hold */
  constructor(bounds: QueueBounds) {
    super();
    this.#bounds = bounds;
  }

  override push(item: QueueItem<T>): Result<QueueItem<T>[], Failure> {
    const tooMany = this.size >= this.#bounds.maxItems;
    const tooLarge = this.size > 0 && this.#tokens + item.costTokens > this.#bounds.maxTokens;
    if (tooMany || tooLarge) return err(createFailure('queue_full'));
    this.#items.set(item.id, item);
    this.#deadlines.set(item.id, item, item.deadline);
    this.#tokens += item.costTokens;
    return ok([]);
  }

  override pop(): Option<QueueItem<T>> {
    const [first] = this.#items.keys();
    return first === undefined ? none : this.remove(first);
  }

  override remove(id: AttemptId): Option<QueueItem<T>> {
    const item = this.#items.get(id);
    if (item) {
      this.#items.delete(id);
      this.#deadlines.remove(id);
      this.#tokens -= item.costTokens;
    }
    return fromNullable(item);
  }

  override takeExpired(now: MonoTime): QueueItem<T>[] {
    return takeDue(this.#deadlines, now, (item) => this.remove(item.id));
  }

  override settle(): void {
    // The order does not go by cost.
  }

  override get size(): number {
    return this.#items.size;
  }

  override get tokens(): number {
    return this.#tokens;
  }
}

/**
 * Removes the items whose deadline has passed.
 *
 * @param deadlines - the items by deadline
 * @param now - the present time
 * @param remove - removes one item from the queue and from `deadlines`
 * @returns the removed items, earliest deadline first
 */
export function takeDue<T>(
  deadlines: IndexedHeap<AttemptId, QueueItem<T>>,
  now: MonoTime,
  remove: (item: QueueItem<T>) => void,
): QueueItem<T>[] {
  const due: QueueItem<T>[] = [];
  for (;;) {
    const first = deadlines.peek();
    if (!first || first.rank > now) return due;
    due.push(first.value);
    remove(first.value);
  }
}
