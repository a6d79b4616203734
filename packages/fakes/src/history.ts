/** What a stand-in saw, kept as JSON lines. */
import { type Clock, SystemClock } from '@hibiscushill/base';

const CAPACITY = 500_000;

/** One thing that a stand-in saw. */
export interface HistoryEntry {
  readonly op: string;
  readonly [field: string]: unknown;
}

/** A bounded record, in the order of arrival. */
export class History {
  readonly #clock: Clock;

  readonly #entries: (HistoryEntry & { at: number })[] = [];

  /** Whether further entries are kept. */
  isKept = true;

  /** @param clock - stamps the entries with wall time */
  constructor(clock: Clock = new SystemClock()) {
    this.#clock = clock;
  }

  /** All entries, oldest first. */
  get entries(): readonly (HistoryEntry & { at: number })[] {
    return this.#entries;
  }

  /**
   * Adds an entry; beyond the capacity it throws, so that no check runs on a partial record.
   *
   * @param entry - what was seen
   */
  add(entry: HistoryEntry): void {
    if (!this.isKept) return;
    if (this.#entries.length >= CAPACITY) throw new Error('The history is full.');
    this.#entries.push({ at: this.#clock.wall(), ...entry });
  }

  /** Forgets all entries. */
  clear(): void {
    this.#entries.length = 0;
  }
}
