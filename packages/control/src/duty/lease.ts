/** The right to act as a duty's holder until a point in time. */
import type { Clock, FencingNumber, Millis, MonoTime } from '@hibiscushill/base';

/** A lease, which ends by itself unless it is extended. */
export class Lease {
  /** The offset of the claim; every order carries it. */
  readonly fencing: FencingNumber;

  readonly #clock: Clock;

  #endsAt: MonoTime;

  #isLost = false;

  /**
   * @param fencing - the claim's offset
   * @param endsAt - when it ends, counted from before the claim was sent
   * @param clock - the clock that is read at each check
   */
  constructor(fencing: FencingNumber, endsAt: MonoTime, clock: Clock) {
    this.fencing = fencing;
    this.#endsAt = endsAt;
    this.#clock = clock;
  }

  /** When the lease ends. */
  get endsAt(): MonoTime {
    return this.#endsAt;
  }

  /**
   * Tells whether the lease holds until some time from now. Reads the clock at the call.
   *
   * @param ms - how long it has to hold, in milliseconds
   */
  covers(ms: Millis): boolean {
    return !this.#isLost && this.#clock.mono() + ms < this.#endsAt;
  }

  /**
   * Extends a lease that still holds; one that has lapsed stays lapsed.
   *
   * @param endsAt - the new end
   * @returns whether the lease holds
   */
  extend(endsAt: MonoTime): boolean {
    if (!this.covers(0)) return false;
    if (endsAt > this.#endsAt) this.#endsAt = endsAt;
    return true;
  }

  /** Ends the lease now. */
  end(): void {
    this.#isLost = true;
  }
}
