/** The waiting requests of one team, oldest first. */
import type { AttemptId, TeamId } from '@hibiscushill/base';

import type { QueueItem } from './queue-policy';

interface Node<T> {
  readonly item: QueueItem<T>;
  older: Node<T> | undefined;
  newer: Node<T> | undefined;
}

/** A doubly linked list of a team's requests, with the team's virtual times for fair queueing. */
export class TeamQueue<T> {
  readonly team: TeamId;

  /** The virtual time at which the service of the oldest request starts. */
  virtualStart = 0;

  /** The virtual time at which the service of the last popped request ends. */
  virtualFinish = 0;

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

  /** The number of waiting requests. */
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

  /** The request that was added last. */
  get newest(): QueueItem<T> | undefined {
    return this.#newest?.item;
  }

  /**
   * Appends a request.
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
   * Removes a request. An unknown id has no effect.
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
