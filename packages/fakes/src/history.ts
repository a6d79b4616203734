/** The calls that a fake service received, for checks after a test. */
import { type Clock, SystemClock } from '@hibiscushill/base';

const MAX_ENTRIES = 500_000;

/** One call or event at a fake service. It is served as a line of JSON. */
export interface HistoryEntry {
  /** The kind of the event, such as `append` or `crash`. */
  readonly op: string;
  readonly [field: string]: unknown;
}

/** A bounded list of entries in order of arrival. */
export class History {
  readonly #clock: Clock;

  readonly #entries: (HistoryEntry & { at: number })[] = [];

  /** Whether further entries are added. */
  isEnabled = true;

  /** @param clock - stamps the entries with wall time */
  constructor(clock: Clock = new SystemClock()) {
    this.#clock = clock;
  }

  /** All entries, oldest first; `at` is in milliseconds since 1970. */
  get entries(): readonly (HistoryEntry & { at: number })[] {
    return this.#entries;
  }

  /**
   * Adds an entry.
   *
   * @param entry - the call or event
   * @throws if the history is full, so that no check runs on an incomplete history
   */
  add(entry: HistoryEntry): void {
    if (!this.isEnabled) return;
    if (this.#entries.length >= MAX_ENTRIES)
      throw new Error('The history of the fake service is full.');
    this.#entries.push({ at: this.#clock.wall(), ...entry });
  }

  /** Removes all entries. */
  clear(): void {
    this.#entries.length = 0;
  }
}
