/** Follows a stream of the log and delivers each of its records once. */
import {
  type Clock,
  type Failure,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type Offset,
  type RandomSource,
  type RecordId,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import { type Option, isSome } from 'fp-ts/Option';

import { Backoff, type BackoffOptions } from './backoff';
import type { Log, LogPage, LogRecord, StreamName } from './log';
import { RecentIds } from './recent-ids';

const DEFAULT_WAIT_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 1_500;
const DEFAULT_MAX_TIMEOUT_MS = 15_000;
const PAGE_LIMIT = 500;
const DEFAULT_RECENT_ID_CAPACITY = 16_384;
const IN_DOUBT_ID_CAPACITY = 1_024;

/** The stream that a tail follows, and how it reads. */
export interface LogTailOptions {
  readonly log: Log;
  readonly stream: StreamName;
  readonly clock: Clock;
  /** The offset of the first record to read; 0 by default. */
  readonly from?: Offset;
  /** How long the log waits for a record before it returns an empty page, in milliseconds. */
  readonly waitMs?: Millis;
  /**
   * How long a read may take in addition to `waitMs`, in milliseconds. The tail doubles it after
   * each read that times out, so that a slow log can still be read.
   */
  readonly timeoutMs?: Millis;
  /**
   * The maximum to which `timeoutMs` grows, in milliseconds. It bounds how long a read of an
   * unresponsive log lasts, and so how late the tail reads again once the log responds.
   */
  readonly maxTimeoutMs?: Millis;
  /** The delays after failed reads. */
  readonly backoff?: BackoffOptions;
  /**
   * Returns how long to wait after a page with records that reached the stream's end, in
   * milliseconds, so that a busy stream is read in batches. Called after each such page; no delay
   * by default.
   */
  readonly batchDelayMs?: () => Millis;
  /** The number of recent record ids that are kept to detect duplicates. */
  readonly recentIdCapacity?: number;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** Records trimmed before they were read: offsets `from` inclusive to `first` exclusive. */
export interface TrimGap {
  readonly from: Offset;
  readonly first: Offset;
}

type Unsubscribe = () => void;

/**
 * Reads a stream with long polls and delivers its records to the subscribers in order. A record
 * whose id was delivered recently is dropped as a duplicate.
 */
export class LogTail {
  readonly #log: Log;

  readonly #stream: StreamName;

  readonly #clock: Clock;

  readonly #waitMs: Millis;

  readonly #minTimeoutMs: Millis;

  readonly #maxTimeoutMs: Millis;

  readonly #batchDelayMs: () => Millis;

  readonly #recentIds: RecentIds;

  /** Ids of records whose append failed but may still take effect. */
  readonly #inDoubtIds: RecentIds;

  readonly #backoff: Backoff;

  readonly #metrics: Metrics | undefined;

  readonly #logger: Logger;

  readonly #stopping = new AbortController();

  readonly #subscribers = new Set<(record: LogRecord) => void>();

  readonly #trimListeners = new Set<(gap: TrimGap) => void>();

  /** The conditions of pending waits, checked after each page. */
  readonly #progressChecks = new Set<() => void>();

  #next: Offset;

  #timeoutMs: Millis;

  #caughtUpAt: MonoTime | undefined;

  /** Ends the long poll or the batch delay in progress. */
  #waiting = new AbortController();

  /** The number of `catchUp` calls in progress. */
  #catchUps = 0;

  /** The number of reads sent, which numbers each read. */
  #readCount = 0;

  /** The number of the last read that reached the stream's end. */
  #lastCaughtUpRead = 0;

  #task: Promise<void> | undefined;

  /** @param options - the log, the stream, the first offset and the timing of reads */
  constructor(options: LogTailOptions) {
    this.#log = options.log;
    this.#stream = options.stream;
    this.#clock = options.clock;
    this.#waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
    this.#minTimeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#maxTimeoutMs = options.maxTimeoutMs ?? DEFAULT_MAX_TIMEOUT_MS;
    this.#timeoutMs = this.#minTimeoutMs;
    this.#batchDelayMs = options.batchDelayMs ?? (() => 0);
    this.#recentIds = new RecentIds(options.recentIdCapacity ?? DEFAULT_RECENT_ID_CAPACITY);
    this.#inDoubtIds = new RecentIds(IN_DOUBT_ID_CAPACITY);
    this.#backoff = new Backoff(options.random ?? createRandomSource(), options.backoff);
    this.#metrics = options.metrics;
    this.#logger = createLogger(`log.tail.${options.stream}`);
    this.#next = options.from ?? (0 as Offset);
  }

  /**
   * When the last read that reached the stream's end was sent: every record that was in the stream
   * at that time has been delivered. Undefined before the first such read.
   */
  get caughtUpAt(): MonoTime | undefined {
    return this.#caughtUpAt;
  }

  /** The offset of the next record to read. */
  get next(): Offset {
    return this.#next;
  }

  /**
   * Subscribes to the records that are read from now on, without duplicates.
   *
   * @param handle - called with each record; it must not throw
   * @returns a function that ends the subscription
   */
  subscribe(handle: (record: LogRecord) => void): Unsubscribe {
    this.#subscribers.add(handle);
    return () => this.#subscribers.delete(handle);
  }

  /**
   * Subscribes to gaps: records that were trimmed before they were read. A gap is reported before
   * any later record is delivered.
   *
   * @param handle - called with the gap
   * @returns a function that ends the subscription
   */
  onTrimmed(handle: (gap: TrimGap) => void): Unsubscribe {
    this.#trimListeners.add(handle);
    return () => this.#trimListeners.delete(handle);
  }

  /** Starts reading. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading, ends all waits, and resolves once no read is in progress. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#waiting.abort();
    this.#runProgressChecks();
    await this.#task;
  }

  /** Returns the offset of the first record with an id; none when it isn't among the recent ids. */
  findOffset(id: RecordId): Option<Offset> {
    return this.#recentIds.findOffset(id);
  }

  /**
   * Waits until the record of an id has been read.
   *
   * @param id - the record's id
   * @param signal - ends the wait early
   * @returns the offset of the first record with the id, or none when the wait ended early
   */
  async waitFor(id: RecordId, signal?: AbortSignal): Promise<Option<Offset>> {
    await this.#waitUntil(() => isSome(this.#recentIds.findOffset(id)), signal);
    return this.#recentIds.findOffset(id);
  }

  /**
   * Waits until every record that is in the stream now has been delivered. Ends the long poll in
   * progress and reads again at once.
   *
   * @param signal - ends the wait early
   * @returns false when the wait ended early
   */
  async catchUp(signal?: AbortSignal): Promise<boolean> {
    const startedAfter = this.#readCount;
    this.#catchUps += 1;
    this.#waiting.abort();
    const isCaughtUp = (): boolean => this.#lastCaughtUpRead > startedAfter;
    const isDone = await this.#waitUntil(isCaughtUp, signal);
    this.#catchUps -= 1;
    return isDone;
  }

  /** Marks the id of a record whose append failed but may still take effect. */
  markInDoubt(id: RecordId): void {
    this.#inDoubtIds.add(id, this.#next);
  }

  /** Tells whether an id was marked as in doubt, among the newest of those. */
  isInDoubt(id: RecordId): boolean {
    return isSome(this.#inDoubtIds.findOffset(id));
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#waiting = new AbortController();
      const sentAt = this.#clock.mono();
      this.#readCount += 1;
      const waitMs = this.#catchUps > 0 ? 0 : this.#waitMs;
      const timeoutMs = this.#timeoutMs;
      const options = { limit: PAGE_LIMIT, waitMs, timeoutMs, signal: this.#waiting.signal };
      const page = await this.#log.read(this.#stream, this.#next, options);
      if (page.isOk()) this.#processPage(page.value, sentAt);
      else await this.#handleFailure(page.error);
      if (page.isErr()) continue;
      this.#adaptTimeout(this.#clock.mono() - sentAt - waitMs);
      if (page.value.records.length > 0 && reachesEnd(page.value)) await this.#waitForBatch();
    }
  }

  async #waitForBatch(): Promise<void> {
    const delayMs = this.#batchDelayMs();
    if (delayMs > 0 && this.#catchUps === 0) await this.#clock.sleep(delayMs, this.#waiting.signal);
  }

  // Allows twice the duration of the last read, so that reads still succeed if the log gets slower.
  #adaptTimeout(tookMs: Millis): void {
    this.#timeoutMs = Math.min(Math.max(2 * tookMs, this.#minTimeoutMs), this.#maxTimeoutMs);
  }

  #processPage(page: LogPage, sentAt: MonoTime): void {
    this.#backoff.reset();
    page.records.forEach((record) => this.#deliver(record));
    this.#next = page.next;
    if (reachesEnd(page)) {
      this.#caughtUpAt = sentAt;
      this.#lastCaughtUpRead = this.#readCount;
    }
    this.#runProgressChecks();
  }

  #deliver(record: LogRecord): void {
    if (!this.#recentIds.add(record.id, record.offset)) {
      this.#metrics?.count('log.repeated');
      return;
    }
    this.#subscribers.forEach((handle) => {
      try {
        handle(record);
      } catch (error) {
        this.#metrics?.count('log.subscriber_failed');
        this.#logger.error('A subscriber threw an error.', { id: record.id, error: String(error) });
      }
    });
  }

  async #handleFailure(failure: Failure): Promise<void> {
    if (this.#waiting.signal.aborted) return;
    this.#metrics?.countRetry(failure.code);
    if (failure.run === 'may-have-run') this.#adaptTimeout(this.#timeoutMs);
    if (failure.code === 'offset_trimmed' && (await this.#skipTrimmedRecords())) return;
    this.#logger.warn('A read of the stream failed.', {
      code: failure.code,
      detail: failure.detail,
    });
    await this.#clock.sleep(this.#backoff.next(failure.retryAfterMs), this.#stopping.signal);
  }

  async #skipTrimmedRecords(): Promise<boolean> {
    const bounds = await this.#log.bounds(this.#stream);
    if (bounds.isErr() || bounds.value.first <= this.#next) return false;
    const gap = { from: this.#next, first: bounds.value.first };
    this.#logger.warn('Records were trimmed before they were read.', gap);
    this.#next = gap.first;
    this.#trimListeners.forEach((handle) => handle(gap));
    return true;
  }

  #runProgressChecks(): void {
    this.#progressChecks.forEach((check) => check());
  }

  #waitUntil(condition: () => boolean, signal?: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isMet: boolean): void => {
        this.#progressChecks.delete(check);
        signal?.removeEventListener('abort', cancel);
        resolve(isMet);
      };
      const check = (): void => {
        if (condition()) finish(true);
        else if (this.#stopping.signal.aborted) finish(false);
      };
      const cancel = (): void => finish(false);
      this.#progressChecks.add(check);
      signal?.addEventListener('abort', cancel);
      if (signal?.aborted) finish(false);
      else check();
    });
  }
}

function reachesEnd({ records, next, end }: LogPage): boolean {
  return end === undefined ? records.length < PAGE_LIMIT : next >= end;
}
