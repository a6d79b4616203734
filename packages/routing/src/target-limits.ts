/** How many requests this process may send to targets that limit the requests of all processes. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';

import type { LimitShares } from './limit-shares';
import { type LimitChange, type LimitStatement, NamedLimits } from './named-limits';
import { RequestTurns } from './request-turns';

/** An incarnation of a target. */
export interface LimitedTarget<Incarnation extends string | number> {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
}

/** The limit of a cold target. */
export interface ColdLimit {
  /** The requests a second of all processes together. */
  readonly perSecond: number;
  /** Until when the target counts as cold. */
  readonly until: MonoTime;
  /** Whether the target has said so itself; otherwise it may be down or not be cold at all. */
  readonly isStated: boolean;
}

/** The clock, and how the processes share a limit. */
export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly shares: LimitShares;
}

// As many incarnations as limits are remembered of.
const MAX_LIMITED = 4_096;

/**
 * Decides for each target that names a limit or is cold when this process may send it a request. The
 * lower limit applies.
 */
export class TargetLimits<Incarnation extends string | number> {
  readonly #options: TargetLimitsOptions;

  readonly #named = new NamedLimits<Incarnation>();

  readonly #cold = new Map<string, ColdLimit>();

  readonly #turns = new Map<string, RequestTurns>();

  /**
   * Added to the monotonic clock, gives a clock that is about the same in all processes and that
   * doesn't follow later steps of the wall clock.
   */
  readonly #sharedClockOffsetMs: Millis;

  /** @param options - the clock, and how the processes share a limit */
  constructor(options: TargetLimitsOptions) {
    this.#options = options;
    this.#sharedClockOffsetMs = options.clock.wall() - options.clock.mono();
  }

  /**
   * Records what a response says about the limit of its target.
   *
   * @returns what it changes; undefined if nothing
   */
  record(statement: LimitStatement<Incarnation>): LimitChange | undefined {
    const change = this.#named.record(statement);
    if (change) this.#updateTurns(statement);
    return change;
  }

  /** Sets the limit of a cold target; undefined once it is no longer cold. */
  setCold(target: LimitedTarget<Incarnation>, limit: ColdLimit | undefined): void {
    const key = createKey(target);
    if (!limit && !this.#cold.has(key)) return;
    if (limit) this.#cold.set(key, limit);
    else this.#cold.delete(key);
    this.#updateTurns(target);
  }

  /** The limit of a cold target; undefined if it isn't cold. */
  findCold(target: LimitedTarget<Incarnation>): ColdLimit | undefined {
    return this.#cold.size === 0 ? undefined : this.#cold.get(createKey(target));
  }

  /** The limit that a target has named; undefined if it has named none. */
  findNamed({ target, incarnation }: LimitedTarget<Incarnation>): number | undefined {
    return this.#named.find(target, incarnation);
  }

  /** The requests a second that a target takes; undefined if they are not limited. */
  find(target: LimitedTarget<Incarnation>): number | undefined {
    const named = this.findNamed(target);
    const cold = this.findCold(target)?.perSecond;
    return named === undefined || cold === undefined ? (named ?? cold) : Math.min(named, cold);
  }

  /** How many requests may be sent to a target now; infinite without a limit. */
  countAvailable(target: LimitedTarget<Incarnation>): number {
    return this.#findTurns(target)?.countAvailable(this.#now) ?? Infinity;
  }

  /**
   * Takes a request's turn at a target.
   *
   * @returns whether the request may be sent now
   */
  take(target: LimitedTarget<Incarnation>): boolean {
    return this.#findTurns(target)?.take(this.#now) ?? true;
  }

  /** Takes the turn of a request that is sent in any case, if necessary a later one. */
  charge(target: LimitedTarget<Incarnation>): void {
    this.#findTurns(target)?.charge(this.#now);
  }

  /**
   * Reserves the next turn at a target.
   *
   * @returns how long the request has to wait; undefined if there is no turn in time
   */
  reserve(target: LimitedTarget<Incarnation>, maxWaitMs: Millis): Millis | undefined {
    const turns = this.#findTurns(target);
    return turns ? turns.reserve(this.#now, maxWaitMs) : 0;
  }

  /** Gives a reserved turn back. */
  release(target: LimitedTarget<Incarnation>): void {
    this.#findTurns(target)?.release();
  }

  /**
   * Finds how long a request would have to wait for its turn at a target.
   *
   * @returns milliseconds; undefined if there is no turn in time
   */
  findWait(target: LimitedTarget<Incarnation>, maxWaitMs: Millis): Millis | undefined {
    const turns = this.#findTurns(target);
    return turns ? turns.findWait(this.#now, maxWaitMs) : 0;
  }

  get #now(): Millis {
    return this.#options.clock.mono() + this.#sharedClockOffsetMs;
  }

  #updateTurns(limited: LimitedTarget<Incarnation>): void {
    const key = createKey(limited);
    const perSecond = this.find(limited);
    const turns = this.#turns.get(key);
    if (perSecond === undefined) this.#turns.delete(key);
    else if (!turns) {
      const ownership = this.#options.shares.createOwnership(limited.target, key);
      this.#turns.set(key, new RequestTurns(ownership, perSecond, this.#now));
    } else if (turns.ratePerSecond !== perSecond) turns.setRate(perSecond, this.#now);
    this.#removeOldestTurns();
  }

  #removeOldestTurns(): void {
    const [oldest] = this.#turns.keys();
    if (this.#turns.size > MAX_LIMITED && oldest !== undefined) this.#turns.delete(oldest);
  }

  #findTurns(target: LimitedTarget<Incarnation>): RequestTurns | undefined {
    if (this.#turns.size === 0 || this.find(target) === undefined) return undefined;
    return this.#turns.get(createKey(target));
  }
}

function createKey({ target, incarnation }: LimitedTarget<string | number>): string {
  return `${target} ${incarnation}`;
}
