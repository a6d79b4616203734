/** Usage that the agent keeps until the log holds it. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';
import type { UsageItem } from '@hibiscushill/protocol';

import type { Attempt } from './attempt';

interface HeldItem {
  readonly item: UsageItem;
  readonly entry: string;
  /** When the item is handed to another entry, if its own hasn't settled it. */
  handOverAt: MonoTime;
}

/** How long an entry has to settle usage before another entry is asked, in milliseconds. */
const HAND_OVER_MS: Millis = 15_000;

const MAX_ITEMS = 50_000;

/** Usage items by request, each with the entry that is to log it. */
export class UsageHold {
  readonly #clock: Clock;

  readonly #items = new Map<string, HeldItem>();

  /** @param clock - the process's clock */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no further item can be held. */
  get isFull(): boolean {
    return this.#items.size >= MAX_ITEMS;
  }

  /** How many items are held. */
  get size(): number {
    return this.#items.size;
  }

  /**
   * Holds the usage of an attempt that has ended.
   *
   * @param attempt - the attempt
   */
  add(attempt: Attempt): void {
    const { run } = attempt;
    if (!run.billable) return;
    const item = {
      request: run.request,
      team: run.team,
      service: run.service,
      tokens: attempt.tokens,
      finishedMs: this.#clock.wall(),
    };
    const { entry } = attempt;
    this.#items.set(run.request, { item, entry, handOverAt: this.#later() });
  }

  /** Forgets usage that the log holds. */
  settle(requests: readonly string[]): void {
    requests.forEach((request) => this.#items.delete(request));
  }

  /** Hands the usage of an entry that is gone over at the next call of `takeDue`. */
  hurry(entry: string): void {
    const now = this.#clock.mono();
    for (const held of this.#items.values()) if (held.entry === entry) held.handOverAt = now;
  }

  /**
   * Lists what has waited too long, and gives it another wait.
   *
   * @param most - the most items
   * @returns the items to hand to any entry
   */
  takeDue(most: number): UsageItem[] {
    const now = this.#clock.mono();
    const due: UsageItem[] = [];
    for (const held of this.#items.values()) {
      if (due.length >= most) break;
      if (held.handOverAt <= now) {
        due.push(held.item);
        held.handOverAt = this.#later();
      }
    }
    return due;
  }

  #later(): MonoTime {
    return (this.#clock.mono() + HAND_OVER_MS) as MonoTime;
  }
}
