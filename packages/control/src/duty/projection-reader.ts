/** Feeds a projection with every record of a stream, in order and without gaps. */
import type { Offset } from '@hibiscushill/base';
import type { Log, LogRecord, StreamName } from '@hibiscushill/log';

const PAGE_RECORDS = 500;

/** State that is computed from the records of a stream, one after the other. */
export interface StreamProjection {
  /** The offset to apply next, or undefined before the first record. */
  readonly next: Offset | undefined;
  /** Discards the state and starts at an offset, since the records before it were trimmed. */
  startAt(first: Offset): void;
  /** Applies the next record. A record that was applied before is ignored. */
  apply(record: LogRecord): unknown;
}

/** Feeds one projection from a log tail, and from the log itself where the tail skipped records. */
export class ProjectionReader {
  readonly #log: Log;

  readonly #stream: StreamName;

  readonly #projection: StreamProjection;

  readonly #apply: (record: LogRecord) => void;

  #currentRead: Promise<boolean> | undefined;

  #nextRead: Promise<boolean> | undefined;

  /**
   * @param log - the log
   * @param stream - the stream
   * @param projection - the projection
   * @param apply - passes a record to the projection; `projection.apply` by default
   */
  constructor(
    log: Log,
    stream: StreamName,
    projection: StreamProjection,
    apply: (record: LogRecord) => void = (record) => projection.apply(record),
  ) {
    this.#log = log;
    this.#stream = stream;
    this.#projection = projection;
    this.#apply = apply;
  }

  /**
   * Applies a record from a log tail. A tail skips records with a repeated id and may be ahead of
   * the projection; the records between are then read from the log.
   */
  takeFromTail(record: LogRecord): void {
    const { next } = this.#projection;
    if (next === undefined || record.offset <= next) this.#apply(record);
    else void this.readToEnd();
  }

  /**
   * Starts the projection a number of records before the stream's end, unless it has started.
   *
   * @param records - how many of the latest records will be read at most
   * @returns false when the log didn't respond
   */
  async startNearEnd(records: number): Promise<boolean> {
    const bounds = await this.#log.bounds(this.#stream);
    if (bounds.isErr()) return false;
    const { first, next } = bounds.value;
    if (this.#projection.next === undefined) {
      this.#projection.startAt(Math.max(first, next - records) as Offset);
    }
    return true;
  }

  /**
   * Reads the records that the projection hasn't applied yet, up to the stream's end. Calls during
   * a read share the next one.
   *
   * @returns whether a read that was sent after the call reached the stream's end
   */
  readToEnd(): Promise<boolean> {
    if (!this.#currentRead) {
      this.#currentRead = this.#readAll().finally(() => {
        this.#currentRead = undefined;
      });
      return this.#currentRead;
    }
    this.#nextRead ??= this.#currentRead.then(() => {
      this.#nextRead = undefined;
      return this.readToEnd();
    });
    return this.#nextRead;
  }

  async #readAll(): Promise<boolean> {
    for (;;) {
      const from = this.#projection.next ?? (0 as Offset);
      const page = await this.#log.read(this.#stream, from, { limit: PAGE_RECORDS, waitMs: 0 });
      if (page.isErr()) {
        if (page.error.code !== 'offset_trimmed') return false;
        const bounds = await this.#log.bounds(this.#stream);
        if (bounds.isErr()) return false;
        if (bounds.value.first > (this.#projection.next ?? -1))
          this.#projection.startAt(bounds.value.first);
        continue;
      }
      page.value.records.forEach((record) => this.#apply(record));
      if (page.value.records.length === 0) return true;
    }
  }
}
