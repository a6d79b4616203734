/** Start-time fair queueing by team. */
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
import { type QueueBounds, type QueueItem, QueuePolicy, takeExpiredItems } from './queue-policy';
import { TeamQueue } from './team-queue';

/**
 * Serves teams in proportion to their weights, measured in the tokens that their requests cost. A
 * team that was idle resumes at the current virtual time, so it has saved up neither credit nor
 * debt. A full queue drops the newest request of the team that occupies most of it for its weight.
 */
export class FairQueue<T> extends QueuePolicy<T> {
  readonly #bounds: QueueBounds;

  /** All waiting requests, ranked by deadline. */
  readonly #items = new IndexedHeap<AttemptId, QueueItem<T>>();

  readonly #teams = new Map<TeamId, TeamQueue<T>>();

  /** Teams with waiting requests, ranked by virtual start. */
  readonly #byVirtualStart = new IndexedHeap<TeamId, TeamQueue<T>>();

  /** Teams with waiting requests, ranked by occupancy, highest first. */
  readonly #byOccupancy = new IndexedHeap<TeamId, TeamQueue<T>>();

  /** Teams without waiting requests, ranked by virtual finish. */
  readonly #idle = new IndexedHeap<TeamId, TeamQueue<T>>();

  #virtualTime = 0;

  #tokens = 0;

  /** @param bounds - the most that the queue may hold */
  constructor(bounds: QueueBounds) {
    super();
    this.#bounds = bounds;
  }

  override push(item: QueueItem<T>): Result<QueueItem<T>[], Failure> {
    const team = this.#findOrCreateTeam(item.team);
    const dropped: QueueItem<T>[] = [];
    while (this.#isFullFor(item)) {
      const itemToDrop = this.#findItemToDrop(team, item);
      if (!itemToDrop) {
        this.#reindex(team);
        // The items dropped so far freed too little capacity, but the caller must refuse them too.
        return dropped.length > 0 ? ok([...dropped, item]) : err(createFailure('queue_full'));
      }
      dropped.push(itemToDrop);
      this.remove(itemToDrop.id);
    }
    if (team.size === 0) team.virtualStart = Math.max(this.#virtualTime, team.virtualFinish);
    team.push(item);
    this.#items.set(item.id, item, item.deadline);
    this.#tokens += item.costTokens;
    this.#reindex(team);
    return ok(dropped);
  }

  override pop(): Option<QueueItem<T>> {
    const team = this.#byVirtualStart.peek()?.value;
    const item = team?.oldest;
    if (!team || !item) return none;
    this.#virtualTime = Math.max(this.#virtualTime, team.virtualStart);
    team.virtualFinish = team.virtualStart + chargedTokens(item) / item.weight;
    team.virtualStart = team.virtualFinish;
    return this.remove(item.id);
  }

  override remove(id: AttemptId): Option<QueueItem<T>> {
    const item = this.#items.remove(id);
    const team = item && this.#teams.get(item.team);
    if (!item || !team) return none;
    team.remove(id);
    this.#tokens -= item.costTokens;
    this.#reindex(team);
    this.#removeIdleTeams();
    return fromNullable(item);
  }

  override takeExpired(now: MonoTime): QueueItem<T>[] {
    return takeExpiredItems(this.#items, now, (item) => this.remove(item.id));
  }

  override adjustCost(item: QueueItem<T>, actualTokens: number): void {
    const team = this.#findOrCreateTeam(item.team);
    const difference = (Math.max(1, actualTokens) - chargedTokens(item)) / item.weight;
    team.virtualFinish = Math.max(this.#virtualTime, team.virtualFinish + difference);
    team.virtualStart = Math.max(this.#virtualTime, team.virtualStart + difference);
    this.#reindex(team);
  }

  override get size(): number {
    return this.#items.size;
  }

  override get tokens(): number {
    return this.#tokens;
  }

  #isFullFor(item: QueueItem<T>): boolean {
    if (this.size >= this.#bounds.maxItems) return true;
    return this.size > 0 && this.#tokens + item.costTokens > this.#bounds.maxTokens;
  }

  /**
   * Finds the newest item of the team with the highest occupancy. There is none if the new item
   * would make its own team's occupancy as high.
   */
  #findItemToDrop(team: TeamQueue<T>, item: QueueItem<T>): QueueItem<T> | undefined {
    const largest = this.#byOccupancy.peek();
    if (!largest || largest.value === team) return undefined;
    const own = this.#occupancy(team.size + 1, team.tokens + item.costTokens, item.weight);
    return own >= -largest.rank ? undefined : largest.value.newest;
  }

  /** The larger of the two fractions of the bounds that a team occupies, divided by its weight. */
  #occupancy(items: number, tokens: number, weight: number): number {
    return Math.max(items / this.#bounds.maxItems, tokens / this.#bounds.maxTokens) / weight;
  }

  #findOrCreateTeam(id: TeamId): TeamQueue<T> {
    const found = this.#teams.get(id);
    if (found) return found;
    const team = new TeamQueue<T>(id);
    team.virtualFinish = this.#virtualTime;
    this.#teams.set(id, team);
    return team;
  }

  /** Updates a team's rank in each heap after its queue or its virtual times have changed. */
  #reindex(team: TeamQueue<T>): void {
    if (team.size > 0) {
      this.#idle.remove(team.team);
      this.#byVirtualStart.set(team.team, team, team.virtualStart);
      const occupancy = this.#occupancy(team.size, team.tokens, team.weight);
      this.#byOccupancy.set(team.team, team, -occupancy);
    } else {
      this.#byVirtualStart.remove(team.team);
      this.#byOccupancy.remove(team.team);
      this.#idle.set(team.team, team, team.virtualFinish);
    }
  }

  /** Removes idle teams whose virtual finish has passed: a new queue would start no differently. */
  #removeIdleTeams(): void {
    for (;;) {
      const first = this.#idle.peek();
      if (!first || (this.size > 0 && first.rank > this.#virtualTime)) return;
      this.#virtualTime = Math.max(this.#virtualTime, first.rank);
      this.#idle.remove(first.key);
      this.#teams.delete(first.key);
    }
  }
}

/** The cost for which a team is charged; a request without cost is charged as one token. */
function chargedTokens(item: QueueItem<unknown>): number {
  return Math.max(1, item.costTokens);
}
