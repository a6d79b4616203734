/** Simulated time with events in their order. */
import { ManualClock, type Millis } from '@hibiscushill/base';
import { IndexedHeap } from '@hibiscushill/routing';

/** Runs events at their times on a clock that jumps from one to the next. */
export class EventLoop {
  readonly clock = new ManualClock();

  readonly #events = new IndexedHeap<number, () => void>();

  #nextId = 0;

  /** The present simulated time, in milliseconds. */
  get now(): Millis {
    return this.clock.mono();
  }

  /**
   * Plans an event.
   *
   * @param atMs - its time, in milliseconds
   * @param event - what happens
   */
  at(atMs: Millis, event: () => void): void {
    this.#events.set(this.#nextId, event, atMs);
    this.#nextId += 1;
  }

  /**
   * Runs the events up to a time.
   *
   * @param untilMs - the time, in milliseconds
   */
  run(untilMs: Millis): void {
    for (;;) {
      const next = this.#events.peek();
      if (!next || next.rank > untilMs) return;
      this.#events.remove(next.key);
      this.clock.advance(Math.max(0, next.rank - this.now));
      next.value();
    }
  }
}
