/** Feeds a fold with every record of a stream, in order and without a gap. */
import type { Offset } from '@hibiscushill/base';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';

const PAGE_RECORDS = 500;

/** What takes the records of a stream one after the other. */
export interface RecordFold {
  /** The offset to take next, or undefined before the start is known. */
  readonly next: Offset | undefined;
  /** Starts anew at an offset, since what stood before is gone. */
  startAt(first: Offset): void;
  /** Takes the next record; one that was taken before is ignored. */
  apply(record: LogRecord): unknown;
}

/** Feeds one fold from a tail, and from the log itself where the tail leaves records out. */
export class FoldReader {
  readonly #log: Log;

  readonly #stream: StreamName;

  readonly #fold: RecordFold;

  readonly #apply: (record: LogRecord) => void;

  #running: Promise<boolean> | undefined;

  #queued: Promise<boolean> | undefined;

  /**
   * @param log - the log
   * @param stream - the stream
   * @param fold - what takes the records
   * @param apply - hands a record to the fold; `fold.apply` when left out
   */
  constructor(
    log: Log,
    stream: StreamName,
    fold: RecordFold,
    apply: (record: LogRecord) => void = (record) => fold.apply(record),
  ) {
    this.#log = log;
    this.#stream = stream;
    this.#fold = fold;
    this.#apply = apply;
  }

  /**
   * Takes a record from a tail. A tail leaves repeated ids out, and may be ahead of the fold: what
   * lies between is then read from the log.
   */
  take(record: LogRecord): void {
    const { next } = this.#fold;
    if (next === undefined || record.offset <= next) this.#apply(record);
    else void this.readToEnd();
  }

  /**
   * Starts the fold a number of records before the stream's end, unless it has started.
   *
   * @param records - how many records to go back at most
   * @returns false when the log didn't answer
   */
  async startNearEnd(records: number): Promise<boolean> {
    const bounds = await this.#log.bounds(this.#stream);
    if (bounds.isErr()) return false;
    const { first, next } = bounds.value;
    if (this.#fold.next === undefined) {
      this.#fold.startAt(Math.max(first, next - records) as Offset);
    }
    return true;
  }

  /**
   * Reads what the fold hasn't taken yet, until a read finds nothing more. Calls during a read
   * share the one that follows it.
   *
   * @returns whether the stream's end was reached by a read that was sent after the call
   */
  readToEnd(): Promise<boolean> {
    if (!this.#running) {
      this.#running = this.#readAll().finally(() => {
        this.#running = undefined;
      });
      return this.#running;
    }
    this.#queued ??= this.#running.then(() => {
      this.#queued = undefined;
      return this.readToEnd();
    });
    return this.#queued;
  }

  async #readAll(): Promise<boolean> {
    for (;;) {
      const from = this.#fold.next ?? (0 as Offset);
      const page = await this.#log.read(this.#stream, from, { limit: PAGE_RECORDS, waitMs: 0 });
      if (page.isErr()) {
        if (page.error.code !== 'offset_trimmed') return false;
        const bounds = await this.#log.bounds(this.#stream);
        if (bounds.isErr()) return false;
        if (bounds.value.first > (this.#fold.next ?? -1)) this.#fold.startAt(bounds.value.first);
        continue;
      }
      page.value.records.forEach((record) => this.#apply(record));
      if (page.value.records.length === 0) return true;
    }
  }
}
