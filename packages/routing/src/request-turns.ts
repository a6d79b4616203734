/** The turns at which one process may send requests to a target that limits those of all. */
import type { Millis } from '@hibiscushill/base';

/** Tells which turns belong to this process. */
export interface TurnOwnership {
  /** Changes whenever turns may belong to others than before. */
  readonly version: number;
  /** Whether a turn belongs to this process; every turn belongs to one process only. */
  isOwn(turn: number): boolean;
}

/** Requests that may be sent until a time. */
interface Grant {
  count: number;
  readonly endsAt: Millis;
}

const MS_PER_SECOND = 1_000;
// Bounds how many turns a second have to be computed.
const MIN_TURN_MS = 10;
// A turn that isn't used at its start stays open for this long, or for the length of a turn.
const MIN_GRANT_MS = 500;
// One request in twenty seconds shows whether a target that takes none takes requests again.
const MIN_RATE_PER_S = 0.05;
// More than any target takes.
const MAX_RATE_PER_S = 100_000;
// Turns that passed longer ago no longer pay for requests that were sent without one.
const MAX_LOOK_BACK_MS = 5_000;

// More turns than a request waits for.
const MAX_OWN_TURNS = 256;

/**
 * Divides time into turns, which all processes number alike, and lets a process send requests in its
 * own turns only. The rate is therefore kept by all processes together without an exchange before
 * each request, and doesn't depend on how many they are. An unused turn can't be kept for later than
 * for a short time, so that processes without requests don't save up for a burst.
 *
 * In any time, the processes send at most what the rate allows for this time and one grant longer,
 * and one turn more.
 */
export class RequestTurns {
  readonly #ownership: TurnOwnership;

  #ratePerSecond: number;

  /** The first time of which the turns have not been granted yet. */
  #grantedUntil: Millis;

  #grants: Grant[] = [];

  /** Requests that were sent or promised ahead of their turns. */
  #debt = 0;

  readonly #ownTurns = new Map<number, boolean>();

  #ownershipVersion = NaN;

  /**
   * @param ownership - tells which turns belong to this process
   * @param ratePerSecond - the requests a second of all processes together
   * @param now - the first time at which turns may begin, on a clock that the processes share
   */
  constructor(ownership: TurnOwnership, ratePerSecond: number, now: Millis) {
    this.#ownership = ownership;
    this.#ratePerSecond = clampRate(ratePerSecond);
    this.#grantedUntil = now;
  }

  /** The requests a second of all processes together. */
  get ratePerSecond(): number {
    return this.#ratePerSecond;
  }

  /** Changes the rate from now on. */
  setRate(ratePerSecond: number, now: Millis): void {
    this.#advance(now);
    const isLower = ratePerSecond < this.#ratePerSecond;
    this.#ratePerSecond = clampRate(ratePerSecond);
    this.#grantedUntil = Math.min(this.#grantedUntil, now);
    this.#ownTurns.clear();
    if (isLower) this.#grants = [];
  }

  /** How many requests may be sent now. */
  countAvailable(now: Millis): number {
    this.#advance(now);
    return this.#grants.reduce((sum, { count }) => sum + count, 0);
  }

  /**
   * Takes a request's turn.
   *
   * @returns whether the request may be sent now
   */
  take(now: Millis): boolean {
    this.#advance(now);
    const [oldest] = this.#grants;
    if (!oldest) return false;
    oldest.count -= 1;
    if (oldest.count === 0) this.#grants.shift();
    return true;
  }

  /** Takes the turn of a request that is sent in any case, if necessary a later one. */
  charge(now: Millis): void {
    if (!this.take(now)) this.#debt += 1;
  }

  /**
   * Reserves the next turn that is not reserved.
   *
   * @param now - the current time
   * @param maxWaitMs - how long the request may wait for its turn
   * @returns how long it has to wait; undefined if there is no turn in time
   */
  reserve(now: Millis, maxWaitMs: Millis): Millis | undefined {
    if (this.take(now)) return 0;
    const waitMs = this.findWait(now, maxWaitMs);
    if (waitMs !== undefined) this.#debt += 1;
    return waitMs;
  }

  /** Gives a reserved turn back. */
  release(): void {
    this.#debt = Math.max(0, this.#debt - 1);
  }

  /**
   * Finds how long a further request would have to wait for its turn.
   *
   * @returns milliseconds; undefined if there is no turn in time
   */
  findWait(now: Millis, maxWaitMs: Millis): Millis | undefined {
    if (this.countAvailable(now) > 0) return 0;
    const { turnMs } = this.#turn;
    let missing = this.#debt + 1;
    const first = Math.ceil(this.#grantedUntil / turnMs);
    for (let turn = first; turn * turnMs - now <= maxWaitMs; turn += 1) {
      if (this.#isOwn(turn)) missing -= this.#countRequests(turn);
      if (missing <= 0) return Math.max(0, turn * turnMs - now);
    }
    return undefined;
  }

  get #turn(): { readonly turnMs: Millis; readonly requests: number } {
    const turnMs = Math.max(MS_PER_SECOND / this.#ratePerSecond, MIN_TURN_MS);
    const requests = Math.max(1, (this.#ratePerSecond * MIN_TURN_MS) / MS_PER_SECOND);
    return { turnMs, requests };
  }

  #countRequests(turn: number): number {
    const { requests } = this.#turn;
    return Math.floor((turn + 1) * requests) - Math.floor(turn * requests);
  }

  /** Grants the own turns that have begun, and drops grants that have ended. */
  #advance(now: Millis): void {
    const { turnMs } = this.#turn;
    const grantMs = Math.max(MIN_GRANT_MS, turnMs);
    const lookBackMs = this.#debt > 0 ? MAX_LOOK_BACK_MS : grantMs;
    const from = Math.max(this.#grantedUntil, now - lookBackMs);
    const last = Math.floor(now / turnMs);
    for (let turn = Math.ceil(from / turnMs); turn <= last; turn += 1) {
      this.#grantedUntil = (turn + 1) * turnMs;
      if (this.#isOwn(turn)) this.#grant(this.#countRequests(turn), turn * turnMs + grantMs);
    }
    this.#grants = this.#grants.filter(({ endsAt }) => endsAt > now);
  }

  #grant(requests: number, endsAt: Millis): void {
    const paid = Math.min(this.#debt, requests);
    this.#debt -= paid;
    if (requests > paid) this.#grants.push({ count: requests - paid, endsAt });
  }

  #isOwn(turn: number): boolean {
    const { version } = this.#ownership;
    const isOutdated = version !== this.#ownershipVersion || this.#ownTurns.size >= MAX_OWN_TURNS;
    if (isOutdated) this.#ownTurns.clear();
    this.#ownershipVersion = version;
    const isOwn = this.#ownTurns.get(turn) ?? this.#ownership.isOwn(turn);
    this.#ownTurns.set(turn, isOwn);
    return isOwn;
  }
}

function clampRate(ratePerSecond: number): number {
  return Math.min(MAX_RATE_PER_S, Math.max(MIN_RATE_PER_S, ratePerSecond));
}
