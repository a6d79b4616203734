/** A time-limited right to perform a duty. */
import type { Clock, FencingNumber, Millis, MonoTime } from '@hibiscushill/base';

/** The lease of a duty's holder. It ends by itself unless it is extended. */
export class Lease {
  /** The claim's offset. Every order carries it, so that a receiver refuses earlier holders. */
  readonly fencing: FencingNumber;

  readonly #clock: Clock;

  #endsAt: MonoTime;

  #isEnded = false;

  /**
   * @param fencing - the claim's offset
   * @param endsAt - when the lease ends; its duration counts from before the claim was sent
   * @param clock - the clock, read at each check
   */
  constructor(fencing: FencingNumber, endsAt: MonoTime, clock: Clock) {
    this.fencing = fencing;
    this.#endsAt = endsAt;
    this.#clock = clock;
  }

  /** When the lease ends unless it is extended or ended before. */
  get endsAt(): MonoTime {
    return this.#endsAt;
  }

  /**
   * Tells whether the lease lasts longer than a duration from now. Reads the clock at the call.
   *
   * @param ms - the duration in milliseconds; zero asks whether the lease holds now
   */
  covers(ms: Millis): boolean {
    return !this.#isEnded && this.#clock.mono() + ms < this.#endsAt;
  }

  /**
   * Extends a lease that still holds. A lease that has ended isn't revived.
   *
   * @param endsAt - the new end; an earlier one than before is ignored
   * @returns whether the lease still held
   */
  extend(endsAt: MonoTime): boolean {
    if (!this.covers(0)) return false;
    if (endsAt > this.#endsAt) this.#endsAt = endsAt;
    return true;
  }

  /** Ends the lease now. */
  end(): void {
    this.#isEnded = true;
  }
}
