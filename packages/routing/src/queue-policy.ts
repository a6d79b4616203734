/** Queues of requests that wait for a slot at a target. */
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
  /** The team's weight; greater than zero. */
  readonly weight: number;
  /** The estimated cost. */
  readonly costTokens: number;
  /** The time from which the request is no longer worth running. */
  readonly deadline: MonoTime;
  /** What the owner of the queue attaches to the request. */
  readonly value: T;
}

/** The most that a queue may hold. */
export interface QueueBounds {
  readonly maxItems: number;
  readonly maxTokens: number;
}

/** A bounded queue that decides which request runs next. */
export abstract class QueuePolicy<T> {
  /**
   * Adds a request.
   *
   * @param item - the request; its id must not be in the queue
   * @returns the requests that were dropped and have to be refused, which may include the new one,
   *   or the failure `queue_full` when only the new one has to be refused
   */
  abstract push(item: QueueItem<T>): Result<QueueItem<T>[], Failure>;

  /**
   * Removes the next request to run.
   *
   * @returns the request, or none when the queue is empty
   */
  abstract pop(): Option<QueueItem<T>>;

  /**
   * Removes a request at any position.
   *
   * @param id - the request's attempt
   * @returns the request, or none when it is not in the queue
   */
  abstract remove(id: AttemptId): Option<QueueItem<T>>;

  /**
   * Removes every request whose deadline has passed.
   *
   * @param now - the current time
   * @returns the removed requests, earliest deadline first
   */
  abstract takeExpired(now: MonoTime): QueueItem<T>[];

  /**
   * Charges or refunds a team for the difference between a request's actual and estimated cost.
   *
   * @param item - a request that was popped
   * @param actualTokens - the request's actual cost
   */
  abstract adjustCost(item: QueueItem<T>, actualTokens: number): void;

  /** The number of waiting requests. */
  abstract get size(): number;

  /** The estimated cost of all waiting requests, in tokens. */
  abstract get tokens(): number;
}

/** Serves requests in the order of their arrival, regardless of their teams. */
export class FifoQueue<T> extends QueuePolicy<T> {
  readonly #bounds: QueueBounds;

  readonly #items = new Map<AttemptId, QueueItem<T>>();

  readonly #deadlines = new IndexedHeap<AttemptId, QueueItem<T>>();

  #tokens = 0;

  /** @param bounds - the most that the queue may hold */
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
    return takeExpiredItems(this.#deadlines, now, (item) => this.remove(item.id));
  }

  override adjustCost(): void {
    // The order does not depend on cost.
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
 * @param deadlines - the items, ranked by deadline
 * @param now - the current time
 * @param remove - removes one item from the queue and from `deadlines`
 * @returns the removed items, earliest deadline first
 */
export function takeExpiredItems<T>(
  deadlines: IndexedHeap<AttemptId, QueueItem<T>>,
  now: MonoTime,
  remove: (item: QueueItem<T>) => void,
): QueueItem<T>[] {
  const expired: QueueItem<T>[] = [];
  for (;;) {
    const first = deadlines.peek();
    if (!first || first.rank > now) return expired;
    expired.push(first.value);
    remove(first.value);
  }
}
