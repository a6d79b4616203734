/** How fast the requests in flight at a target may grow after it has started or recovered. */
import type { Millis, MonoTime } from '@hibiscushill/base';

/** A response of a target during its ramp-up, or a measurement of its speed. */
export interface PacedResponse {
  /** When the request was sent, or the measurement began. */
  readonly sentAt: MonoTime;
  readonly endedAt: MonoTime;
  /** The time that is compared: to the complete response, or between two events. */
  readonly tookMs: Millis;
  /** The same time at the service's other targets; undefined if unknown. */
  readonly typicalMs: Millis | undefined;
}

/** A policy for one ramp-up of one target: how many requests one process has in flight there. */
export abstract class PacePolicy {
  /** How many requests may be in flight; at least 1. */
  abstract boundAt(now: MonoTime): number;

  /** Whether the ramp-up is over, so that nothing is bounded any more. */
  abstract hasEnded(now: MonoTime): boolean;

  /** Records a complete response that is no failure. */
  abstract recordResponse(response: PacedResponse): void;

  /** Records that a request has failed or was refused by the target. */
  abstract recordFailure(sentAt: MonoTime, now: MonoTime): void;
}

/** The target's slots, and when the ramp-up begins. */
export interface AdaptivePaceOptions {
  readonly slots: number;
  readonly beganAt: MonoTime;
}

const INITIAL_BOUND = 1;
// A response that takes up to this many times as long as at other targets counts as in time.
const IN_TIME_RATIO = 2;
// A response of a target that is slow counts as too slow once it takes this many times as long as
// the target's own fastest one lately: requests have begun to wait there.
const WAITING_RATIO = 1.5;
// The ramp-up is over only once the target is about as fast as the others. A target that is measured
// to be slower gets few requests afterwards, and would not be seen to become faster.
const SAME_SPEED_RATIO = 1.3;
const SLOW_FACTOR = 0.7;
const FAILURE_FACTOR = 0.5;
// The fastest response is that of the current and the previous period of this length, since a target
// that has become slower in general isn't overloaded by it.
const FASTEST_PERIOD_MS = 500;
const MAX_CALM_MS = 5_000;
// A slow target goes on becoming faster while a response takes less than this fraction of the fastest
// one before.
const FASTER_RATIO = 0.9;
// A target that is slow for longer isn't starting, and is better avoided for its own latency.
const MAX_DURATION_MS = 15_000;
const SMOOTHING_FACTOR = 0.5;

/**
 * Adapts to how the target responds. For a target that is back at a fraction of its speed and
 * becomes faster within seconds, while its service's load goes on.
 *
 * The bound doubles in each round trip while responses come as fast as from other targets, and grows
 * by one in each round trip while the target is slow but no slower than with fewer requests.
 */
export class AdaptivePace extends PacePolicy {
  readonly #slots: number;

  readonly #beganAt: MonoTime;

  #bound = INITIAL_BOUND;

  #calmSince: MonoTime;

  /** Requests that were sent before this time say nothing about the current bound. */
  #loweredAt: MonoTime;

  #averageRatio: number | undefined;

  #periodStartedAt: MonoTime;

  #fastestMs = Infinity;

  #previousFastestMs = Infinity;

  /** The fastest response of the ramp-up that was slower than those of other targets. */
  #bestMs = Infinity;

  #hasReachedSlots = false;

  /** @param options - the target's slots and the beginning */
  constructor({ slots, beganAt }: AdaptivePaceOptions) {
    super();
    this.#slots = Math.max(1, slots);
    this.#beganAt = beganAt;
    this.#calmSince = beganAt;
    this.#loweredAt = beganAt;
    this.#periodStartedAt = beganAt;
  }

  override boundAt(_now: MonoTime): number {
    return Math.floor(this.#bound);
  }

  override hasEnded(now: MonoTime): boolean {
    if (this.#hasReachedSlots || now - this.#calmSince >= MAX_CALM_MS) return true;
    return now - this.#beganAt >= MAX_DURATION_MS;
  }

  override recordResponse({ sentAt, endedAt, tookMs, typicalMs }: PacedResponse): void {
    const fastestMs = Math.min(this.#fastestMs, this.#previousFastestMs);
    this.#recordFastest(tookMs, endedAt);
    const referenceMs = typicalMs ?? Math.min(fastestMs, tookMs);
    const ratio = tookMs / Math.max(1, referenceMs);
    this.#averageRatio =
      this.#averageRatio === undefined
        ? ratio
        : this.#averageRatio + (ratio - this.#averageRatio) * SMOOTHING_FACTOR;
    if (ratio > IN_TIME_RATIO && tookMs < FASTER_RATIO * this.#bestMs) {
      this.#bestMs = tookMs;
      this.#calmSince = endedAt;
    }
    if (ratio <= IN_TIME_RATIO) this.#grow(1);
    else if (tookMs <= WAITING_RATIO * fastestMs) this.#grow(1 / this.#bound);
    else this.#lower(SLOW_FACTOR, sentAt, endedAt);
  }

  override recordFailure(sentAt: MonoTime, now: MonoTime): void {
    this.#lower(FAILURE_FACTOR, sentAt, now);
  }

  #recordFastest(tookMs: Millis, now: MonoTime): void {
    if (now - this.#periodStartedAt >= FASTEST_PERIOD_MS) {
      this.#previousFastestMs = this.#fastestMs;
      this.#fastestMs = Infinity;
      this.#periodStartedAt = now;
    }
    this.#fastestMs = Math.min(this.#fastestMs, tookMs);
  }

  #grow(by: number): void {
    this.#bound = Math.min(this.#slots, this.#bound + by);
    const isAsFast = (this.#averageRatio ?? Infinity) <= SAME_SPEED_RATIO;
    this.#hasReachedSlots = isAsFast && this.#bound >= this.#slots;
  }

  #lower(factor: number, sentAt: MonoTime, now: MonoTime): void {
    this.#calmSince = now;
    if (sentAt < this.#loweredAt) return;
    this.#loweredAt = now;
    this.#bound = Math.max(INITIAL_BOUND, this.#bound * factor);
  }
}
