/** How long a process that stops serves requests, and which ones it still takes. */
import type { Millis, MonoTime } from '@hibiscushill/base';

// A load balancer that asks once a second and takes a process out after two failed checks sends no
// further requests after this.
const MAX_BALANCER_DELAY_MS = 3_000;
// The same for a process that may take little time to stop.
const MAX_BALANCER_DELAY_FRACTION = 0.375;
// The fraction of the time to stop for which open requests are waited for; the rest is for closing.
const SERVING_FRACTION = 0.9;

/**
 * The schedule of a process that was told to stop. Order of events: a load balancer learns of it
 * seconds later, callers use open connections until the process is gone, and some requests last
 * longer than the process may.
 */
export class ShutdownSchedule {
  /** When requests that are still open are cut off. */
  readonly servesUntil: MonoTime;

  readonly #takesAnyUntil: MonoTime;

  /**
   * @param stoppedAt - when the process was told to stop
   * @param graceMs - how long it may take until it is ended by force, in milliseconds
   */
  constructor(stoppedAt: MonoTime, graceMs: Millis) {
    const delayMs = Math.min(MAX_BALANCER_DELAY_MS, graceMs * MAX_BALANCER_DELAY_FRACTION);
    this.#takesAnyUntil = (stoppedAt + delayMs) as MonoTime;
    this.servesUntil = (stoppedAt + graceMs * SERVING_FRACTION) as MonoTime;
  }

  /**
   * Whether a request is served. While callers can't know of the stop, any is, since most end long
   * before they may. Later ones are refused at once unless they surely end in time.
   *
   * @param now - when the request arrived
   * @param endsAt - when the request ends at the latest; infinite if nothing bounds it
   */
  takes(now: MonoTime, endsAt: MonoTime): boolean {
    return endsAt <= this.servesUntil || now < this.#takesAnyUntil;
  }
}
