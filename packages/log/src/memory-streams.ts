/** Streams of records in memory, with trimming and long reads. */
import type { Offset, WallTime } from '@hibiscushill/base';

import type { LogRecord, NewRecord, StreamBounds } from './log';

interface Stream {
  first: number;
  readonly records: LogRecord[];
  waiters: (() => void)[];
}

/** What streams keep: all, unless a bound says less. */
export interface Retention {
  readonly keepCount: number;
  readonly keepMs: number;
}

/** The streams of an in-memory log. */
export class MemoryStreams {
  readonly #streams = new Map<string, Stream>();

  /**
   * Appends records next to one another and wakes those who wait for them.
   *
   * @returns the offset of the first
   */
  append(name: string, records: readonly NewRecord[], at: WallTime): Offset {
    const stream = this.#stream(name);
    const first = stream.first + stream.records.length;
    records.forEach((record, index) => {
      stream.records.push({ ...record, offset: (first + index) as Offset, appendedAt: at });
    });
    const { waiters } = stream;
    stream.waiters = [];
    waiters.forEach((wake) => wake());
    return first as Offset;
  }

  /** Reads kept records from an offset on. */
  slice(name: string, from: Offset, limit: number): LogRecord[] {
    const stream = this.#stream(name);
    const start = Math.max(0, from - stream.first);
    return stream.records.slice(start, start + limit);
  }

  /** Tells which offsets a stream holds. */
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
  nextAppend(name: string): Promise<void> {
    return new Promise((resolve) => {
      this.#stream(name).waiters.push(resolve);
    });
  }

  /** Drops the records before an offset. */
  trim(name: string, first: number): void {
    const stream = this.#stream(name);
    const last = stream.first + stream.records.length;
    const to = Math.min(Math.max(first, stream.first), last);
    stream.records.splice(0, to - stream.first);
    stream.first = to;
  }

  /** Drops what retention no longer keeps, in all streams. */
  retain(retention: Retention, now: WallTime): void {
    this.#streams.forEach((stream, name) => {
      const { records } = stream;
      const excess = Math.max(0, records.length - retention.keepCount);
      const young = records.findIndex((record) => now - record.appendedAt < retention.keepMs);
      const old = young === -1 ? records.length : young;
      this.trim(name, stream.first + Math.max(excess, old));
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
