/** A clock whose monotonic axis also counts the time for which the machine was suspended. */
import { Clock, type Millis, type MonoTime, SystemClock, type WallTime } from './clock';

// The two axes are read one after the other, and the time of day is slewed by less than this.
const NOISE_MS = 20;

/**
 * Adds to the monotonic axis what the time of day gained over it. A suspended machine's steady
 * clock stands still while the time of day goes on, so a lease measured by the steady clock alone
 * would outlive its end. A time of day that is set ahead ages leases early, which is safe.
 */
export class SuspendAwareClock extends Clock {
  readonly #base: Clock;

  #lastMono: number;

  #lastWall: number;

  #suspendedMs: Millis = 0;

  /** @param base - the clock to read; the system's when left out */
  constructor(base: Clock = new SystemClock()) {
    super();
    this.#base = base;
    this.#lastMono = base.mono();
    this.#lastWall = base.wall();
  }

  override mono(): MonoTime {
    const mono = this.#base.mono();
    const wall = this.#base.wall();
    const gainedMs = wall - this.#lastWall - (mono - this.#lastMono);
    if (gainedMs > NOISE_MS) this.#suspendedMs += gainedMs;
    // Small differences are kept so that a slow drift adds up to something that counts.
    if (Math.abs(gainedMs) > NOISE_MS) {
      this.#lastMono = mono;
      this.#lastWall = wall;
    }
    return (mono + this.#suspendedMs) as MonoTime;
  }

  override wall(): WallTime {
    return this.#base.wall();
  }

  override sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return this.#base.sleep(ms, signal);
  }
}
