/** A log whose records have keys, of which the newest of each is kept for good. */
import type { Failure, Millis, Offset } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

/** A record of a keyed log; without a value, its key was dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

/** The newest record of each key. Records after `end` may be contained as well. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Where to go on reading. */
  readonly end: Offset;
}

/** A page of records in their order. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly next: Offset;
  /** The log's end when the page was read. */
  readonly end: Offset;
}

/** How a page of a keyed log is read. */
export interface KeyedReadOptions {
  readonly waitMs: Millis;
  readonly timeoutMs: Millis;
  readonly signal?: AbortSignal;
}

/** One keyed log. Its failures are `platform_down`, `platform_refused` and `offset_trimmed`. */
export abstract class KeyedLog {
  /** Names the log in lines and counters. */
  abstract readonly name: string;

  /** Reads the newest record of each key. */
  abstract newest(): ResultAsync<KeyedSnapshot, Failure>;

  /**
   * Reads the records that follow an offset.
   *
   * @param from - the first offset wanted
   * @param options - how long to wait for a record
   * @returns the page; `offset_trimmed` when records from there on were dropped
   */
  abstract read(from: Offset, options: KeyedReadOptions): ResultAsync<KeyedPage, Failure>;
}
