/** The interface of a compacted log: it keeps at least the newest record of each key. */
import type { Failure, Millis, Offset } from '@hibiscushill/base';
import type { ResultAsync } from 'neverthrow';

/** A record of a keyed log; undefined as the value deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

/** The newest record of each key. It may include records that were appended after `end`. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  /** The offset from which to read the records that follow the snapshot. */
  readonly end: Offset;
}

/** A page of consecutive records, in the order of offsets. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** The offset to read from next. */
  readonly next: Offset;
  /** The offset after the log's last record when the page was read. */
  readonly end: Offset;
}

/** How long to wait for a page of a keyed log. */
export interface KeyedReadOptions {
  /** How long the log waits for a record before it returns an empty page, in milliseconds. */
  readonly waitMs: Millis;
  /** How long the response may take in addition to `waitMs`, in milliseconds. */
  readonly timeoutMs: Millis;
  readonly signal?: AbortSignal;
}

/**
 * A keyed log. Its methods fail with `platform_down`, `platform_refused` or `offset_trimmed`.
 */
export abstract class KeyedLog {
  /** The log's name, for log lines and metrics. */
  abstract readonly name: string;

  /** Reads the newest record of each key. */
  abstract readSnapshot(): ResultAsync<KeyedSnapshot, Failure>;

  /**
   * Reads records from an offset on.
   *
   * @param from - the offset of the first record to read
   * @param options - how long to wait for a record
   * @returns the page; fails with `offset_trimmed` when records from that offset on were dropped
   */
  abstract read(from: Offset, options: KeyedReadOptions): ResultAsync<KeyedPage, Failure>;

  /**
   * Appends a record; not every keyed log may be written to.
   *
   * @param record - the newest record of its key from then on
   * @param at - the offset at which the log must end, else nothing is appended
   */
  abstract append(record: KeyedRecord, at?: Offset): ResultAsync<void, Failure>;
}
