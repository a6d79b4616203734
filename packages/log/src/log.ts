/** The interface of the append-only log, independent of the service that stores it. */
import type { Failure, Millis, Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { Result, ResultAsync } from 'neverthrow';

/** A named stream of the log. Each stream has its own offsets, dense and from zero. */
export type StreamName =
  'config' | 'progress' | 'targets' | 'texts' | 'usage' | 'work' | `trainer.${string}`;

/** A record to append. The id identifies it when it is appended more than once. */
export interface NewRecord {
  readonly id: RecordId;
  readonly kind: string;
  readonly payload: unknown;
}

/** A record as the log stores it. */
export interface LogRecord extends NewRecord {
  readonly offset: Offset;
  readonly appendedAt: WallTime;
}

/** A page of a stream. `next` is the offset to read from next. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  readonly next: Offset;
  /**
   * The offset after the stream's last record when the page was read. A log that omits it returns
   * full pages until the stream's end.
   */
  readonly end?: Offset;
}

/** The offsets that a stream currently holds: `first` inclusive to `next` exclusive. */
export interface StreamBounds {
  readonly first: Offset;
  readonly next: Offset;
}

/** The size of a page and how long to wait for it. */
export interface ReadOptions {
  /** The maximum number of records. */
  readonly limit?: number;
  /** The approximate maximum size of the records, in bytes; a page holds at least one record. */
  readonly maxBytes?: number;
  /** How long the log waits for a record before it returns an empty page, in milliseconds. */
  readonly waitMs?: Millis;
  /** How long the response may take in addition to `waitMs`, in milliseconds. */
  readonly timeoutMs?: Millis;
  readonly signal?: AbortSignal;
}

/** The deadline of an append. */
export interface AppendOptions {
  /** How long the append may take, in milliseconds. */
  readonly timeoutMs?: Millis;
}

/**
 * A log of named streams. Its methods fail with `platform_down`, `platform_refused` or
 * `offset_trimmed`.
 */
export abstract class Log {
  /**
   * Appends records atomically, at consecutive offsets. After a failure with `run`
   * `may-have-run`, the records may be in the stream, or appear there later.
   *
   * @param stream - the stream
   * @param records - at least one record
   * @param options - the deadline
   * @returns the offset of the first record
   */
  abstract append(
    stream: StreamName,
    records: readonly NewRecord[],
    options?: AppendOptions,
  ): ResultAsync<Offset, Failure>;

  /**
   * Reads records from an offset on. Fails with `offset_trimmed` when the record at that offset
   * has been trimmed.
   *
   * @param stream - the stream
   * @param from - the offset of the first record to read
   * @param options - the page's size and how long to wait for a record
   * @returns the page
   */
  abstract read(
    stream: StreamName,
    from: Offset,
    options?: ReadOptions,
  ): ResultAsync<LogPage, Failure>;

  /**
   * Reads the first offset of a stream and its end.
   *
   * @param stream - the stream
   * @returns the bounds
   */
  abstract bounds(stream: StreamName): ResultAsync<StreamBounds, Failure>;
}

/** The result of an append: the offset of the first record, or why it failed. */
export type AppendOutcome = Result<Offset, Failure>;
