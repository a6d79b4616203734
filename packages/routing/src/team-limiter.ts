/** The rate and concurrency limits of one team at one entry. */
import type { Clock, CodeName, Millis } from '@hibiscushill/base';
import type { TeamBounds } from '@hibiscushill/config';

import { TokenBucket } from './token-bucket';

/** A bound that is used up. */
export interface ExhaustedBound {
  /** The result code that names the bound. */
  readonly code: CodeName;
  /** The estimated time until the bound allows a request, in milliseconds. */
  readonly waitMs: Millis;
}

const MS_PER_SECOND = 1000;
/** The weight of the newest sample in the moving average of the time in flight. */
const IN_FLIGHT_SMOOTHING_FACTOR = 0.1;
const INITIAL_MEAN_IN_FLIGHT_MS = 100;
// A product such as 3 * (1 / 3) may be slightly less than 1 in floating point.
const FLOAT_TOLERANCE = 1e-9;

/** One team's token buckets and its number of requests in flight. */
export class TeamLimiter {
  readonly #requests: TokenBucket;

  readonly #tokens: TokenBucket;

  readonly #burstMs: Millis;

  #inFlight = 0;

  #maxInFlight = 1;

  #meanInFlightMs = INITIAL_MEAN_IN_FLIGHT_MS;

  /** The bounds and the share that are in force, as one string; empty before the first call. */
  #boundsKey = '';

  /**
   * @param clock - the clock
   * @param burstMs - the time in which an empty bucket fills up, in milliseconds
   */
  constructor(clock: Clock, burstMs: Millis) {
    this.#burstMs = burstMs;
    this.#requests = new TokenBucket(clock, 0, 0);
    this.#tokens = new TokenBucket(clock, 0, 0);
  }

  /**
   * Sets the bounds. The first call also fills the buckets.
   *
   * @param bounds - the team's bounds over all entries
   * @param share - the fraction of the bounds that this entry may use
   */
  setBounds(bounds: TeamBounds, share: number): void {
    const isFirst = this.#boundsKey === '';
    const key = `${bounds.requestsPerSecond}/${bounds.tokensPerSecond}/${bounds.inFlight}/${share}`;
    if (key === this.#boundsKey) return;
    this.#boundsKey = key;
    this.#maxInFlight = Math.max(1, Math.floor(bounds.inFlight * share + FLOAT_TOLERANCE));
    this.#resizeBucket(this.#requests, bounds.requestsPerSecond * share, isFirst);
    this.#resizeBucket(this.#tokens, bounds.tokensPerSecond * share, isFirst);
  }

  /**
   * Looks for a bound that is used up. A request needs one unit of the request rate, and one token
   * however many it costs: a costly request puts the token bucket into debt, and later requests
   * wait until the debt is paid.
   *
   * @returns the bound with the longest wait, or undefined when a request may be admitted
   */
  findExhaustedBound(): ExhaustedBound | undefined {
    const bounds: ExhaustedBound[] = [
      { code: 'team_rate_exceeded', waitMs: this.#requests.msUntilAvailable(1) },
      { code: 'team_tokens_exceeded', waitMs: this.#tokens.msUntilAvailable(1) },
      { code: 'team_in_flight_exceeded', waitMs: this.#msUntilRelease() },
    ];
    return bounds
      .filter(({ waitMs }) => waitMs > 0)
      .reduce<ExhaustedBound | undefined>(
        (longest, bound) => (longest && longest.waitMs >= bound.waitMs ? longest : bound),
        undefined,
      );
  }

  /**
   * Charges an admitted request to all bounds.
   *
   * @param costTokens - the request's estimated cost
   */
  charge(costTokens: number): void {
    this.#requests.take(1);
    this.#tokens.take(costTokens);
    this.#inFlight += 1;
  }

  /**
   * Charges or refunds the difference between a request's actual and estimated cost.
   *
   * @param tokens - the actual cost minus the estimated one
   */
  adjustTokens(tokens: number): void {
    this.#tokens.take(tokens);
  }

  /**
   * Removes a request from those in flight.
   *
   * @param inFlightMs - the time for which the request was in flight, in milliseconds
   */
  release(inFlightMs: Millis): void {
    this.#inFlight -= 1;
    this.#meanInFlightMs += (inFlightMs - this.#meanInFlightMs) * IN_FLIGHT_SMOOTHING_FACTOR;
  }

  /** The number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Estimates when enough requests have ended for another one to be admitted. */
  #msUntilRelease(): Millis {
    if (this.#inFlight < this.#maxInFlight) return 0;
    const requiredReleases = this.#inFlight - this.#maxInFlight + 1;
    return Math.max(1, (this.#meanInFlightMs * requiredReleases) / this.#inFlight);
  }

  #resizeBucket(bucket: TokenBucket, rate: number, fill: boolean): void {
    bucket.resize(rate, Math.max(1, (rate * this.#burstMs) / MS_PER_SECOND));
    if (fill) bucket.fill();
  }
}
