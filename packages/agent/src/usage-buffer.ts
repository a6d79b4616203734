/** Buffers usage at the agent until it is on the log. */
import type { Clock, Millis, MonoTime } from '@hibiscushill/base';
import type { UsageItem } from '@hibiscushill/protocol';

import type { Attempt } from './attempt';

/** A usage item that is not known to be on the log. */
interface BufferedItem {
  readonly item: UsageItem;
  /** The incarnation of the entry that the item was sent to last; empty before that. */
  readonly sentTo: string;
  /** When the item is sent to an entry, or sent again. */
  readonly dueAt: MonoTime;
}

/** The entry that delivered the response logs its usage too; it has this time to do so. */
const FIRST_SEND_DELAY_MS: Millis = 8_000;

/** The time that an entry has to log an item, before the item is sent again. */
const RESEND_INTERVAL_MS: Millis = 15_000;

const MAX_BUFFERED_ITEMS = 50_000;

/** Keeps usage items by sequence number until an entry acknowledges that they are on the log. */
export class UsageBuffer {
  readonly #clock: Clock;

  readonly #items = new Map<number, BufferedItem>();

  #lastSeq = 0;

  /** @param clock - the process's clock */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no further item can be buffered. */
  get isFull(): boolean {
    return this.#items.size >= MAX_BUFFERED_ITEMS;
  }

  /** The number of buffered items. */
  get size(): number {
    return this.#items.size;
  }

  /**
   * Adds the usage of an attempt whose response was delivered, if it is billable.
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
    this.#items.set(item.seq, {
      item,
      sentTo: '',
      dueAt: this.#timeAfter(FIRST_SEND_DELAY_MS),
    });
  }

  /**
   * Removes items that are on the log.
   *
   * @param entry - the incarnation of the entry that has logged them
   * @param throughSeq - the highest sequence number that this entry has logged
   */
  acknowledge(entry: string, throughSeq: number): void {
    for (const [seq, buffered] of this.#items) {
      if (seq > throughSeq) return;
      if (buffered.sentTo === entry) this.#items.delete(seq);
    }
  }

  /** Makes all items due now that have not been sent to any entry. */
  expediteUnsent(): void {
    const now = this.#clock.mono();
    this.#items.forEach((buffered, seq) => {
      if (buffered.sentTo === '') this.#items.set(seq, { ...buffered, dueAt: now });
    });
  }

  /**
   * Claims items that are due, to send them to an entry.
   *
   * @param entry - the incarnation of that entry
   * @param maxItems - the maximum number of items
   * @returns the items, which stay buffered until they are acknowledged
   */
  claimDue(entry: string, maxItems: number): UsageItem[] {
    const now = this.#clock.mono();
    const due = [...this.#items.values()]
      .filter((buffered) => buffered.dueAt <= now)
      .slice(0, maxItems);
    const dueAt = this.#timeAfter(RESEND_INTERVAL_MS);
    due.forEach(({ item }) => this.#items.set(item.seq, { item, sentTo: entry, dueAt }));
    return due.map((buffered) => buffered.item);
  }

  #timeAfter(ms: Millis): MonoTime {
    return (this.#clock.mono() + ms) as MonoTime;
  }
}
