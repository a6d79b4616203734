/** Time in milliseconds, from the system or driven by a test. */
import type { Brand } from './ids';

/** A duration in milliseconds. */
export type Millis = number;

/** A point on a clock's monotonic axis, in milliseconds. Comparable within one process only. */
export type MonoTime = Brand<number, 'MonoTime'>;

/** A point of wall-clock time, in milliseconds since the Unix epoch. */
export type WallTime = Brand<number, 'WallTime'>;

/** The source of time for everything that decides by time. */
export abstract class Clock {
  /**
   * Reads the monotonic time, which never steps back and goes on while the process is stopped.
   *
   * @returns milliseconds since an arbitrary origin
   */
  abstract mono(): MonoTime;

  /**
   * Reads the wall-clock time, which may step.
   *
   * @returns milliseconds since the Unix epoch
   */
  abstract wall(): WallTime;

  /**
   * Waits for a duration, or until the signal aborts, whichever comes first.
   *
   * @param ms - how long to wait, in milliseconds
   * @param signal - ends the wait early, without an error
   * @returns a promise that never rejects
   */
  abstract sleep(ms: Millis, signal?: AbortSignal): Promise<void>;
}

/** The operating system's clock. */
export class SystemClock extends Clock {
  override mono(): MonoTime {
    return performance.now() as MonoTime;
  }

  override wall(): WallTime {
    return Date.now() as WallTime;
  }

  override sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timer = setTimeout(finish, ms);
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish);
    });
  }
}

interface PendingSleep {
  readonly dueAt: number;
  readonly wake: () => void;
}

/** A clock that moves only when told to. */
export class ManualClock extends Clock {
  #now: number;

  #sleepers: PendingSleep[] = [];

  /** @param start - the first reading of both axes, in milliseconds */
  constructor(start = 0) {
    super();
    this.#now = start;
  }

  override mono(): MonoTime {
    return this.#now as MonoTime;
  }

  override wall(): WallTime {
    return this.#now as WallTime;
  }

  override sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', abandon);
        resolve();
      };
      const sleeper = { dueAt: this.#now + ms, wake };
      const abandon = (): void => {
        this.#sleepers = this.#sleepers.filter((other) => other !== sleeper);
        wake();
      };
      this.#sleepers.push(sleeper);
      signal?.addEventListener('abort', abandon);
    });
  }

  /**
   * Moves time forward and wakes the sleepers that are due.
   *
   * @param ms - how far to move, in milliseconds
   */
  advance(ms: Millis): void {
    this.#now += ms;
    const due = this.#sleepers.filter((sleeper) => sleeper.dueAt <= this.#now);
    this.#sleepers = this.#sleepers.filter((sleeper) => sleeper.dueAt > this.#now);
    due.forEach((sleeper) => sleeper.wake());
  }
}
