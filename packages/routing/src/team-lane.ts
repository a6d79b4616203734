/** The waiting requests of one team, oldest first. */
import type { AttemptId, TeamId } from '@hibiscushill/base';

import type { QueueItem } from './queue-policy';

interface Node<T> {
  readonly item: QueueItem<T>;
  older: Node<T> | undefined;
  newer: Node<T> | undefined;
}

/** A doubly linked list with its place in the fair order. */
export class TeamLane<T> {
  readonly team: TeamId;

  /** The virtual time at which the oldest request starts. */
  start = 0;

  /** The virtual time at which the last popped request finishes. */
  finish = 0;

  /** The team's weight, as the newest request gave it. */
  weight = 1;

  #tokens = 0;

  readonly #nodes = new Map<AttemptId, Node<T>>();

  #oldest: Node<T> | undefined;

  #newest: Node<T> | undefined;

  /** @param team - the team */
  constructor(team: TeamId) {
    this.team = team;
  }

  /** How many requests wait. */
  get size(): number {
    return this.#nodes.size;
  }

  /** The estimated cost of the waiting requests, in tokens. */
  get tokens(): number {
    return this.#tokens;
  }

  /** The request that has waited longest. */
  get oldest(): QueueItem<T> | undefined {
    return this.#oldest?.item;
  }

  /** The request that came last. */
  get newest(): QueueItem<T> | undefined {
    return this.#newest?.item;
  }

  /**
   * Adds a request behind the others.
   *
   * @param item - the request
   */
  push(item: QueueItem<T>): void {
    const node: Node<T> = { item, older: this.#newest, newer: undefined };
    if (this.#newest) this.#newest.newer = node;
    else this.#oldest = node;
    this.#newest = node;
    this.#nodes.set(item.id, node);
    this.#tokens += item.costTokens;
    this.weight = item.weight;
  }

  /**
   * Removes a request.
   *
   * @param id - the request's attempt
   */
  remove(id: AttemptId): void {
    const node = this.#nodes.get(id);
    if (!node) return;
    if (node.older) node.older.newer = node.newer;
    else this.#oldest = node.newer;
    if (node.newer) node.newer.older = node.older;
    else this.#newest = node.older;
    this.#nodes.delete(id);
    this.#tokens -= node.item.costTokens;
  }
}
