/** Usage that the agent holds until the log has it. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';
import type { UsageItem } from '@hibiscushill/protocol';

import type { Attempt } from './attempt';

interface HeldItem {
  readonly item: UsageItem;
  /** The incarnation of the entry that was asked last to log it. */
  readonly givenTo: string;
  /** When an entry is asked, or asked again. */
  readonly dueAt: MonoTime;
}

/** How long an entry's own batch may take to reach the log, in milliseconds. */
const FIRST_WAIT_MS: Millis = 8_000;

/** How long an entry that was asked may take, in milliseconds. */
const NEXT_WAIT_MS: Millis = 15_000;

const MAX_ITEMS = 50_000;

/** Usage items by their number. */
export class UsageHold {
  readonly #clock: Clock;

  readonly #items = new Map<number, HeldItem>();

  #lastSeq = 0;

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
   * Holds the usage of an attempt whose answer was delivered.
   *
   * @param attempt - the attempt
   */
  add(attempt: Attempt): void {
    const { run, tokens } = attempt;
    if (!run.billable) return;
    this.#lastSeq += 1;
    const { request, team, service } = run;
    const finishedMs = this.#clock.wall();
    const item = { seq: this.#lastSeq, request, team, service, tokens, finishedMs };
    this.#items.set(item.seq, { item, givenTo: '', dueAt: this.#later(FIRST_WAIT_MS) });
  }

  /**
   * Forgets what the log has.
   *
   * @param entry - the incarnation of the entry that says so
   * @param throughSeq - the number up to which it has logged what it was given
   */
  settle(entry: string, throughSeq: number): void {
    for (const [seq, held] of this.#items) {
      if (seq > throughSeq) return;
      if (held.givenTo === entry) this.#items.delete(seq);
    }
  }

  /** Makes every item due now. */
  hurry(): void {
    const now = this.#clock.mono();
    this.#items.forEach((held, seq) => {
      if (held.givenTo === '') this.#items.set(seq, { ...held, dueAt: now });
    });
  }

  /**
   * Takes the items that an entry has to be asked about.
   *
   * @param entry - the incarnation of the entry that will be asked
   * @param most - the most items
   * @returns the items, which stay held
   */
  takeDue(entry: string, most: number): UsageItem[] {
    const now = this.#clock.mono();
    const due = [...this.#items.values()].filter((held) => held.dueAt <= now).slice(0, most);
    const dueAt = this.#later(NEXT_WAIT_MS);
    due.forEach(({ item }) => this.#items.set(item.seq, { item, givenTo: entry, dueAt }));
    return due.map((held) => held.item);
  }

  #later(ms: Millis): MonoTime {
    return (this.#clock.mono() + ms) as MonoTime;
  }
}
