/** What one team uses of its bounds at one entry. */
import type { Clock, CodeName, Millis } from '@hibiscushill/base';
import type { TeamBounds } from '@hibiscushill/config';

import { TokenBucket } from './token-bucket';

/** A bound that is used up, and when it will allow a request again. */
export interface Shortage {
  readonly code: CodeName;
  readonly waitMs: Millis;
}

const MS_PER_SECOND = 1000;
const HOLD_SMOOTHING = 0.1;
const INITIAL_HOLD_MS = 100;
// A floating-point product such as 3 * (1 / 3) must not lose a place.
const ROUNDING = 1e-9;

/** One team's buckets and requests in flight. */
export class TeamUsage {
  readonly #requests: TokenBucket;

  readonly #tokens: TokenBucket;

  readonly #burstMs: Millis;

  #inFlight = 0;

  #inFlightBound = 1;

  #meanHoldMs = INITIAL_HOLD_MS;

  #sizedFor = '';

  /**
   * @param clock - the clock
   * @param burstMs - how long the buckets take to fill, in milliseconds
   */
  constructor(clock: Clock, burstMs: Millis) {
    this.#burstMs = burstMs;
    this.#requests = new TokenBucket(clock, 0, 0);
    this.#tokens = new TokenBucket(clock, 0, 0);
  }

  /**
   * Sets the bounds. The first call fills the buckets.
   *
   * @param bounds - the team's bounds over all entries
   * @param share - this entry's share of them
   */
  resize(bounds: TeamBounds, share: number): void {
    const first = this.#sizedFor === '';
    const size = `${bounds.requestsPerSecond}/${bounds.tokensPerSecond}/${bounds.inFlight}/${share}`;
    if (size === this.#sizedFor) return;
    this.#sizedFor = size;
    this.#inFlightBound = Math.max(1, Math.floor(bounds.inFlight * share + ROUNDING));
    this.#resizeBucket(this.#requests, bounds.requestsPerSecond * share, first);
    this.#resizeBucket(this.#tokens, bounds.tokensPerSecond * share, first);
  }

  /**
   * Looks for a bound that is used up. A request needs one whole unit of its rate and any tokens
   * at all: a large one puts the tokens in debt, which later requests wait for.
   *
   * @returns the bound that takes longest to recover, or undefined when there is room
   */
  findShortage(): Shortage | undefined {
    const shortages: Shortage[] = [
      { code: 'team_rate_exceeded', waitMs: this.#requests.waitFor(1) },
      { code: 'team_tokens_exceeded', waitMs: this.#tokens.waitFor(1) },
      { code: 'team_in_flight_exceeded', waitMs: this.#waitForPlace() },
    ];
    return shortages
      .filter(({ waitMs }) => waitMs > 0)
      .reduce<Shortage | undefined>(
        (worst, one) => (worst && worst.waitMs >= one.waitMs ? worst : one),
        undefined,
      );
  }

  /**
   * Takes what a request needs.
   *
   * @param costTokens - its estimated cost
   */
  take(costTokens: number): void {
    this.#requests.take(1);
    this.#tokens.take(costTokens);
    this.#inFlight += 1;
  }

  /**
   * Charges or gives back the difference between actual and estimated cost.
   *
   * @param tokens - the difference
   */
  correct(tokens: number): void {
    this.#tokens.take(tokens);
  }

  /**
   * Gives a place in flight back.
   *
   * @param heldMs - how long it was held, in milliseconds
   */
  release(heldMs: Millis): void {
    this.#inFlight -= 1;
    this.#meanHoldMs += (heldMs - this.#meanHoldMs) * HOLD_SMOOTHING;
  }

  /** The requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  #waitForPlace(): Millis {
    if (this.#inFlight < this.#inFlightBound) return 0;
    const freedBefore = this.#inFlight - this.#inFlightBound + 1;
    return Math.max(1, (this.#meanHoldMs * freedBefore) / this.#inFlight);
  }

  #resizeBucket(bucket: TokenBucket, rate: number, fill: boolean): void {
    bucket.resize(rate, Math.max(1, (rate * this.#burstMs) / MS_PER_SECOND));
    if (fill) bucket.fill();
  }
}
