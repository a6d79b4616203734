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
import { type QueueBounds, type QueueItem, QueuePolicy, takeDue } from './queue-policy';
import { TeamLane } from './team-lane';

/**
 * Serves teams in proportion to their weights, by the tokens that their requests cost. A team
 * starts at the present virtual time after a pause, so it has neither credit nor debt from then.
 * A full queue makes room by dropping the newest request of the team that holds most of it.
 */
export class FairQueue<T> extends QueuePolicy<T> {
  readonly #bounds: QueueBounds;

  readonly #items = new IndexedHeap<AttemptId, QueueItem<T>>();

  readonly #lanes = new Map<TeamId, TeamLane<T>>();

  /** Teams with waiting requests, by virtual start time. */
  readonly #ready = new IndexedHeap<TeamId, TeamLane<T>>();

  /** Teams with waiting requests, the largest holding first. */
  readonly #holdings = new IndexedHeap<TeamId, TeamLane<T>>();

  /** Teams without waiting requests, by virtual finish time. */
  readonly #idle = new IndexedHeap<TeamId, TeamLane<T>>();

  #virtualTime = 0;

  #tokens = 0;

  /** @param bounds - how much the queue may hold */
  constructor(bounds: QueueBounds) {
    super();
    this.#bounds = bounds;
  }

  override push(item: QueueItem<T>): Result<QueueItem<T>[], Failure> {
    const lane = this.#findLane(item.team);
    const dropped: QueueItem<T>[] = [];
    while (this.#isFullFor(item)) {
      const victim = this.#findVictim(lane, item);
      if (!victim) {
        this.#place(lane);
        // What was dropped before made no room; the caller has to refuse it all the same.
        return dropped.length > 0 ? ok([...dropped, item]) : err(createFailure('queue_full'));
      }
      dropped.push(victim);
      this.remove(victim.id);
    }
    if (lane.size === 0) lane.start = Math.max(this.#virtualTime, lane.finish);
    lane.push(item);
    this.#items.set(item.id, item, item.deadline);
    this.#tokens += item.costTokens;
    this.#place(lane);
    return ok(dropped);
  }

  override pop(): Option<QueueItem<T>> {
    const lane = this.#ready.peek()?.value;
    const item = lane?.oldest;
    if (!lane || !item) return none;
    this.#virtualTime = Math.max(this.#virtualTime, lane.start);
    lane.finish = lane.start + costOf(item) / item.weight;
    lane.start = lane.finish;
    return this.remove(item.id);
  }

  override remove(id: AttemptId): Option<QueueItem<T>> {
    const item = this.#items.remove(id);
    const lane = item && this.#lanes.get(item.team);
    if (!item || !lane) return none;
    lane.remove(id);
    this.#tokens -= item.costTokens;
    this.#place(lane);
    this.#forgetIdle();
    return fromNullable(item);
  }

  override takeExpired(now: MonoTime): QueueItem<T>[] {
    return takeDue(this.#items, now, (item) => this.remove(item.id));
  }

  override settle(item: QueueItem<T>, actualTokens: number): void {
    const lane = this.#findLane(item.team);
    const difference = (Math.max(1, actualTokens) - costOf(item)) / item.weight;
    lane.finish = Math.max(this.#virtualTime, lane.finish + difference);
    lane.start = Math.max(this.#virtualTime, lane.start + difference);
    this.#place(lane);
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

  /** Finds the newest request of the largest holder, unless that would be the new request's team. */
  #findVictim(lane: TeamLane<T>, item: QueueItem<T>): QueueItem<T> | undefined {
    const largest = this.#holdings.peek();
    if (!largest || largest.value === lane) return undefined;
    const own = this.#holding(lane.size + 1, lane.tokens + item.costTokens, item.weight);
    return own >= -largest.rank ? undefined : largest.value.newest;
  }

  /** The larger of a team's parts of the two bounds, for its weight. */
  #holding(items: number, tokens: number, weight: number): number {
    return Math.max(items / this.#bounds.maxItems, tokens / this.#bounds.maxTokens) / weight;
  }

  #findLane(team: TeamId): TeamLane<T> {
    const found = this.#lanes.get(team);
    if (found) return found;
    const lane = new TeamLane<T>(team);
    lane.finish = this.#virtualTime;
    this.#lanes.set(team, lane);
    return lane;
  }

  #place(lane: TeamLane<T>): void {
    if (lane.size > 0) {
      this.#idle.remove(lane.team);
      this.#ready.set(lane.team, lane, lane.start);
      const holding = this.#holding(lane.size, lane.tokens, lane.weight);
      this.#holdings.set(lane.team, lane, -holding);
    } else {
      this.#ready.remove(lane.team);
      this.#holdings.remove(lane.team);
      this.#idle.set(lane.team, lane, lane.finish);
    }
  }

  #forgetIdle(): void {
    for (;;) {
      const first = this.#idle.peek();
      if (!first || (this.size > 0 && first.rank > this.#virtualTime)) return;
      this.#virtualTime = Math.max(this.#virtualTime, first.rank);
      this.#idle.remove(first.key);
      this.#lanes.delete(first.key);
    }
  }
}

function costOf(item: QueueItem<unknown>): number {
  return Math.max(1, item.costTokens);
}
