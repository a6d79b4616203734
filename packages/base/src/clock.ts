/** Clocks that count in milliseconds: the system's, and one that tests advance. */
import type { Brand } from './ids';

/** A duration in milliseconds. */
export type Millis = number;

/** A reading of a monotonic clock, in milliseconds. Comparable within one process only. */
export type MonoTime = Brand<number, 'MonoTime'>;

/** A reading of the wall clock, in milliseconds since the Unix epoch. */
export type WallTime = Brand<number, 'WallTime'>;

/** The source of time for all code that depends on time. */
export abstract class Clock {
  /**
   * Reads the monotonic clock, which never goes back and also runs while the process is stopped.
   *
   * @returns milliseconds since an arbitrary origin
   */
  abstract mono(): MonoTime;

  /**
   * Reads the wall clock, which may be set forward or back.
   *
   * @returns milliseconds since the Unix epoch
   */
  abstract wall(): WallTime;

  /**
   * Waits for a duration or until the signal aborts, whichever comes first.
   *
   * @param ms - the duration in milliseconds
   * @param signal - ends the wait early when it aborts
   * @returns a promise that never rejects
   */
  abstract sleep(ms: Millis, signal?: AbortSignal): Promise<void>;
}

/** The clocks of the operating system. */
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
  /** The time in milliseconds at which the wait ends. */
  readonly dueAt: number;
  readonly finish: () => void;
}

/** A clock for tests. It advances only by {@link ManualClock.advance}. */
export class ManualClock extends Clock {
  #nowMs: number;

  #pendingSleeps: PendingSleep[] = [];

  /** @param startMs - the first reading of both the monotonic clock and the wall clock */
  constructor(startMs = 0) {
    super();
    this.#nowMs = startMs;
  }

  override mono(): MonoTime {
    return this.#nowMs as MonoTime;
  }

  override wall(): WallTime {
    return this.#nowMs as WallTime;
  }

  override sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        signal?.removeEventListener('abort', cancel);
        resolve();
      };
      const pending = { dueAt: this.#nowMs + ms, finish };
      const cancel = (): void => {
        this.#pendingSleeps = this.#pendingSleeps.filter((other) => other !== pending);
        finish();
      };
      this.#pendingSleeps.push(pending);
      signal?.addEventListener('abort', cancel);
    });
  }

  /**
   * Advances both clocks and ends the waits that are due.
   *
   * @param ms - the duration in milliseconds
   */
  advance(ms: Millis): void {
    this.#nowMs += ms;
    const due = this.#pendingSleeps.filter((pending) => pending.dueAt <= this.#nowMs);
    this.#pendingSleeps = this.#pendingSleeps.filter((pending) => pending.dueAt > this.#nowMs);
    due.forEach((pending) => pending.finish());
  }
}
