/** A clock whose monotonic time also counts the time for which the machine was suspended. */
import { Clock, type Millis, type MonoTime, SystemClock, type WallTime } from './clock';

// Differences up to this come from reading the two clocks one after the other, and from slewing of
// the wall clock.
const TOLERANCE_MS = 20;

/**
 * Adds to the monotonic time whatever the wall clock gains on it. While a machine is suspended, its
 * monotonic clock stops and its wall clock goes on, so the holder of a lease that is measured by
 * the monotonic clock alone would use the lease after its end. If the wall clock is set forward,
 * leases end early, which is safe.
 */
export class SuspendAwareClock extends Clock {
  readonly #base: Clock;

  /** The readings of both clocks from which the next gain is computed. */
  #lastMono: number;

  #lastWall: number;

  #suspendedMs: Millis = 0;

  /** @param base - the clock to read; the system's clock by default */
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
    if (gainedMs > TOLERANCE_MS) this.#suspendedMs += gainedMs;
    // Smaller gains keep the old readings, so that a slow drift accumulates until it is counted.
    if (Math.abs(gainedMs) > TOLERANCE_MS) {
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
