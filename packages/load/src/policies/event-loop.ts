/** A discrete-event loop with simulated time. */
import { ManualClock, type Millis } from '@hibiscushill/base';
import { IndexedHeap } from '@hibiscushill/routing';

/** Runs scheduled events in the order of their times, on a clock that jumps to each event. */
export class EventLoop {
  readonly clock = new ManualClock();

  readonly #events = new IndexedHeap<number, () => void>();

  #nextId = 0;

  /** The current simulated time, in milliseconds. */
  get nowMs(): Millis {
    return this.clock.mono();
  }

  /**
   * Schedules an event.
   *
   * @param atMs - when to run it, in simulated milliseconds; at once when that is in the past
   * @param event - the callback
   */
  schedule(atMs: Millis, event: () => void): void {
    this.#events.set(this.#nextId, event, atMs);
    this.#nextId += 1;
  }

  /**
   * Runs all events up to a time, including those that these events schedule.
   *
   * @param untilMs - the time of the last events to run, in simulated milliseconds
   */
  runUntil(untilMs: Millis): void {
    for (;;) {
      const next = this.#events.peek();
      if (!next || next.rank > untilMs) return;
      this.#events.remove(next.key);
      this.clock.advance(Math.max(0, next.rank - this.nowMs));
      next.value();
    }
  }
}
