/** A notification that tasks can wait for. */
import type { Clock, Millis } from '@hibiscushill/base';

/** Wakes all waiting tasks at each notification. */
export class Notifier {
  readonly #waiting = new Set<() => void>();

  /** Wakes all tasks that are waiting now. */
  notify(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  /**
   * Waits for the next notification, a timeout or an abort, whichever is first.
   *
   * @param clock - the clock that measures the timeout
   * @param ms - the longest wait, in milliseconds
   * @param signal - ends the wait early
   * @returns a promise that never rejects
   */
  async wait(clock: Clock, ms: Millis, signal?: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const stop = (): void => controller.abort();
    signal?.addEventListener('abort', stop, { once: true });
    if (signal?.aborted) stop();
    this.#waiting.add(stop);
    await clock.sleep(ms, controller.signal);
    this.#waiting.delete(stop);
    signal?.removeEventListener('abort', stop);
    stop();
  }
}
