/** The platform's append-only log, as the system sees it. */
import type { Failure, Millis, Offset, RecordId, WallTime } from '@hibiscushill/base';
import type { Result, ResultAsync } from 'neverthrow';

/** A named stream of the log. Each stream has its own offsets, dense and from zero. */
export type StreamName =
  'config' | 'progress' | 'targets' | 'texts' | 'usage' | 'work' | `trainer.${string}`;

/** What a process appends. */
export interface NewRecord {
  readonly id: RecordId;
  readonly kind: string;
  readonly payload: unknown;
}

/** What a process reads back. */
export interface LogRecord extends NewRecord {
  readonly offset: Offset;
  readonly appendedAt: WallTime;
}

/** A page of a stream. `next` is the offset to read from next. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  readonly next: Offset;
  /** The stream's end when the page was read; a log that leaves it out fills every page. */
  readonly end?: Offset;
}

/** The offsets that a stream holds at present: from `first` up to but without `next`. */
export interface StreamBounds {
  readonly first: Offset;
  readonly next: Offset;
}

/** How a page is read. */
export interface ReadOptions {
  readonly limit?: number;
  /** About how many bytes of records are wanted; at least one record comes. */
  readonly maxBytes?: number;
  /** How long the log may hold an empty answer back, in milliseconds. */
  readonly waitMs?: Millis;
  /** How long the answer may take beyond the wait, in milliseconds. */
  readonly timeoutMs?: Millis;
  readonly signal?: AbortSignal;
}

/** How an append is sent. */
export interface AppendOptions {
  /** The append's deadline, in milliseconds. */
  readonly timeoutMs?: Millis;
}

/** The log. Its failures are `platform_down`, `platform_refused` and `offset_trimmed`. */
export abstract class Log {
  /**
   * Appends records in one piece, next to one another. A failure of `platform_down` with `run`
   * `may-have-run` leaves it unknown whether they took effect.
   *
   * @param stream - the stream
   * @param records - at least one record
   * @param options - the deadline
   * @returns the offset of the first
   */
  abstract append(
    stream: StreamName,
    records: readonly NewRecord[],
    options?: AppendOptions,
  ): ResultAsync<Offset, Failure>;

  /**
   * Reads records from an offset on. An offset before the first that is kept fails with
   * `offset_trimmed`.
   *
   * @param stream - the stream
   * @param from - the first offset wanted
   * @param options - the page's size and how long to wait for a record
   * @returns the page
   */
  abstract read(
    stream: StreamName,
    from: Offset,
    options?: ReadOptions,
  ): ResultAsync<LogPage, Failure>;

  /**
   * Asks which offsets a stream holds.
   *
   * @param stream - the stream
   * @returns its bounds
   */
  abstract bounds(stream: StreamName): ResultAsync<StreamBounds, Failure>;
}

/** What became of an append whose answer may have been lost. */
export type AppendOutcome = Result<Offset, Failure>;
