/** Streams of records in memory, with trimming, retention and waits for appends. */
import type { Offset, WallTime } from '@hibiscushill/base';

import type { LogRecord, NewRecord, StreamBounds } from './log';

interface Stream {
  /** The offset of the first record in `records`, or of the next one when there is none. */
  first: number;
  readonly records: LogRecord[];
  /** Called at the next append. */
  waiters: (() => void)[];
}

/** The limits beyond which records are dropped; infinite for no limit. */
export interface Retention {
  /** The maximum number of records in each stream. */
  readonly keepCount: number;
  /** The maximum age of a record, in milliseconds. */
  readonly keepMs: number;
}

/** The streams of an in-memory log. */
export class MemoryStreams {
  readonly #streams = new Map<string, Stream>();

  /**
   * Appends records at consecutive offsets and resolves the waits for an append.
   *
   * @returns the offset of the first record
   */
  append(name: string, records: readonly NewRecord[], at: WallTime): Offset {
    const stream = this.#stream(name);
    const first = stream.first + stream.records.length;
    records.forEach((record, index) => {
      stream.records.push({ ...record, offset: (first + index) as Offset, appendedAt: at });
    });
    const { waiters } = stream;
    stream.waiters = [];
    waiters.forEach((resolve) => resolve());
    return first as Offset;
  }

  /** Returns up to `limit` records from an offset on, or from the first one kept if it is later. */
  read(name: string, from: Offset, limit: number): LogRecord[] {
    const stream = this.#stream(name);
    const start = Math.max(0, from - stream.first);
    return stream.records.slice(start, start + limit);
  }

  /** Returns the first offset that a stream holds and the offset after its last record. */
  bounds(name: string): StreamBounds {
    const stream = this.#stream(name);
    const next = stream.first + stream.records.length;
    return { first: stream.first as Offset, next: next as Offset };
  }

  /**
   * Waits for the next append to a stream.
   *
   * @returns a promise that resolves at the append
   */
  waitForAppend(name: string): Promise<void> {
    return new Promise((resolve) => {
      this.#stream(name).waiters.push(resolve);
    });
  }

  /** Drops the records before an offset. */
  trim(name: string, first: number): void {
    const stream = this.#stream(name);
    const end = stream.first + stream.records.length;
    const to = Math.min(Math.max(first, stream.first), end);
    stream.records.splice(0, to - stream.first);
    stream.first = to;
  }

  /** Drops the records beyond the retention limits, in all streams. */
  applyRetention(retention: Retention, now: WallTime): void {
    this.#streams.forEach((stream, name) => {
      const { records } = stream;
      const excess = Math.max(0, records.length - retention.keepCount);
      const firstKept = records.findIndex((record) => now - record.appendedAt < retention.keepMs);
      const expired = firstKept === -1 ? records.length : firstKept;
      this.trim(name, stream.first + Math.max(excess, expired));
    });
  }

  #stream(name: string): Stream {
    let stream = this.#streams.get(name);
    if (!stream) {
      stream = { first: 0, records: [], waiters: [] };
      this.#streams.set(name, stream);
    }
    return stream;
  }
}
