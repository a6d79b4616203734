/** Reads one stream of the log forward, for as long as the process runs. */
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
import { KnownIds } from './known-ids';
import type { Log, LogPage, LogRecord, StreamName } from './log';

const WAIT_MS = 1_000;
const TIMEOUT_MS = 1_500;
const MOST_TIMEOUT_MS = 15_000;
const PAGE_LIMIT = 500;
const KNOWN_IDS = 16_384;
const DOUBTFUL_IDS = 1_024;

/** What a tail reads, and how. */
export interface LogTailOptions {
  readonly log: Log;
  readonly stream: StreamName;
  readonly clock: Clock;
  /** The first offset wanted; zero when left out. */
  readonly from?: Offset;
  /** How long the log may hold an empty answer back, in milliseconds. */
  readonly waitMs?: Millis;
  /**
   * How long a read may take beyond its wait at first, in milliseconds. It grows while reads time
   * out, so that a slow log is still read.
   */
  readonly timeoutMs?: Millis;
  /** How far that may grow, in milliseconds: a silent log is noticed as late as this. */
  readonly mostTimeoutMs?: Millis;
  /** How reads that failed are spaced. */
  readonly backoff?: BackoffOptions;
  /**
   * How long new records are let gather after a page that held some, in milliseconds, so that a
   * busy stream is read a batch at a time. Asked after each such page; none when left out.
   */
  readonly gatherMs?: () => Millis;
  /** How many of the newest ids are remembered to recognise a repeated record. */
  readonly knownIds?: number;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

/** Records that the log dropped before they were read: from `from` up to but without `first`. */
export interface TrimGap {
  readonly from: Offset;
  readonly first: Offset;
}

type Unsubscribe = () => void;

/** Hands each record of a stream to its subscribers once, in order. */
export class LogTail {
  readonly #log: Log;

  readonly #stream: StreamName;

  readonly #clock: Clock;

  readonly #waitMs: Millis;

  readonly #leastTimeoutMs: Millis;

  readonly #mostTimeoutMs: Millis;

  readonly #gatherMs: () => Millis;

  readonly #known: KnownIds;

  readonly #doubtful: KnownIds;

  readonly #backoff: Backoff;

  readonly #metrics: Metrics | undefined;

  readonly #logger: Logger;

  readonly #stopping = new AbortController();

  readonly #subscribers = new Set<(record: LogRecord) => void>();

  readonly #trimListeners = new Set<(gap: TrimGap) => void>();

  readonly #progress = new Set<() => void>();

  #next: Offset;

  #timeoutMs: Millis;

  #caughtUpAt: MonoTime | undefined;

  #nudge = new AbortController();

  #hurried = 0;

  #sentReads = 0;

  #caughtUpRead = 0;

  #task: Promise<void> | undefined;

  /** @param options - the log, the stream and where to begin */
  constructor(options: LogTailOptions) {
    this.#log = options.log;
    this.#stream = options.stream;
    this.#clock = options.clock;
    this.#waitMs = options.waitMs ?? WAIT_MS;
    this.#leastTimeoutMs = options.timeoutMs ?? TIMEOUT_MS;
    this.#mostTimeoutMs = options.mostTimeoutMs ?? MOST_TIMEOUT_MS;
    this.#timeoutMs = this.#leastTimeoutMs;
    this.#gatherMs = options.gatherMs ?? (() => 0);
    this.#known = new KnownIds(options.knownIds ?? KNOWN_IDS);
    this.#doubtful = new KnownIds(DOUBTFUL_IDS);
    this.#backoff = new Backoff(options.random ?? createRandomSource(), options.backoff);
    this.#metrics = options.metrics;
    this.#logger = createLogger(`log.tail.${options.stream}`);
    this.#next = options.from ?? (0 as Offset);
  }

  /**
   * When the last read that reached the stream's end was sent: every record that stood then has
   * been handed out. Undefined before the first such read.
   */
  get caughtUpAt(): MonoTime | undefined {
    return this.#caughtUpAt;
  }

  /** The offset of the next record to read. */
  get next(): Offset {
    return this.#next;
  }

  /**
   * Hands every record read from now on to a function, each id once.
   *
   * @param handle - takes the record; it must not throw
   * @returns ends the subscription
   */
  subscribe(handle: (record: LogRecord) => void): Unsubscribe {
    this.#subscribers.add(handle);
    return () => this.#subscribers.delete(handle);
  }

  /**
   * Calls a function when records were dropped before they were read, before later ones come.
   *
   * @param handle - takes the gap
   * @returns ends the subscription
   */
  onTrimmed(handle: (gap: TrimGap) => void): Unsubscribe {
    this.#trimListeners.add(handle);
    return () => this.#trimListeners.delete(handle);
  }

  /** Starts reading. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading and waits until the task has ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#nudge.abort();
    this.#announce();
    await this.#task;
  }

  /** Looks up where the record of an id came first, among the newest ids. */
  find(id: RecordId): Option<Offset> {
    return this.#known.find(id);
  }

  /**
   * Waits until the record of an id has been read.
   *
   * @param id - the record's id
   * @param signal - ends the wait early
   * @returns where it came first, or none when the wait ended early
   */
  async waitFor(id: RecordId, signal?: AbortSignal): Promise<Option<Offset>> {
    await this.#until(() => isSome(this.#known.find(id)), signal);
    return this.#known.find(id);
  }

  /**
   * Waits until every record that stands now has been read, without waiting for a long read.
   *
   * @param signal - ends the wait early
   * @returns false when the wait ended early
   */
  async catchUp(signal?: AbortSignal): Promise<boolean> {
    const sentBefore = this.#sentReads;
    this.#hurried += 1;
    this.#nudge.abort();
    const isCaughtUp = (): boolean => this.#caughtUpRead > sentBefore;
    const isDone = await this.#until(isCaughtUp, signal);
    this.#hurried -= 1;
    return isDone;
  }

  /** Marks an id whose append may still take effect, even when it isn't found by reading. */
  markDoubtful(id: RecordId): void {
    this.#doubtful.add(id, this.#next);
  }

  /** Tells whether an earlier append of an id may have taken effect. */
  isDoubtful(id: RecordId): boolean {
    return isSome(this.#doubtful.find(id));
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#nudge = new AbortController();
      const sentAt = this.#clock.mono();
      this.#sentReads += 1;
      const waitMs = this.#hurried > 0 ? 0 : this.#waitMs;
      const timeoutMs = this.#timeoutMs;
      const options = { limit: PAGE_LIMIT, waitMs, timeoutMs, signal: this.#nudge.signal };
      const page = await this.#log.read(this.#stream, this.#next, options);
      if (page.isOk()) this.#take(page.value, sentAt);
      else await this.#recover(page.error);
      if (page.isErr()) continue;
      this.#adaptTimeout(this.#clock.mono() - sentAt - waitMs);
      if (page.value.records.length > 0 && reachesEnd(page.value)) await this.#gather();
    }
  }

  async #gather(): Promise<void> {
    const gatherMs = this.#gatherMs();
    if (gatherMs > 0 && this.#hurried === 0) await this.#clock.sleep(gatherMs, this.#nudge.signal);
  }

  // Twice what the last read took leaves room for a log that gets slower.
  #adaptTimeout(tookMs: Millis): void {
    this.#timeoutMs = Math.min(Math.max(2 * tookMs, this.#leastTimeoutMs), this.#mostTimeoutMs);
  }

  #take(page: LogPage, sentAt: MonoTime): void {
    this.#backoff.reset();
    page.records.forEach((record) => this.#deliver(record));
    this.#next = page.next;
    if (reachesEnd(page)) {
      this.#caughtUpAt = sentAt;
      this.#caughtUpRead = this.#sentReads;
    }
    this.#announce();
  }

  #deliver(record: LogRecord): void {
    if (!this.#known.add(record.id, record.offset)) {
      this.#metrics?.count('log.repeated');
      return;
    }
    this.#subscribers.forEach((handle) => {
      try {
        handle(record);
      } catch (error) {
        this.#metrics?.count('log.subscriber_failed');
        this.#logger.error('A subscriber failed.', { id: record.id, error: String(error) });
      }
    });
  }

  async #recover(failure: Failure): Promise<void> {
    if (this.#nudge.signal.aborted) return;
    this.#metrics?.countRetry(failure.code);
    if (failure.run === 'may-have-run') this.#adaptTimeout(this.#timeoutMs);
    if (failure.code === 'offset_trimmed' && (await this.#skipTrimmed())) return;
    this.#logger.warn('A read failed.', { code: failure.code, detail: failure.detail });
    await this.#clock.sleep(this.#backoff.next(failure.retryAfterMs), this.#stopping.signal);
  }

  async #skipTrimmed(): Promise<boolean> {
    const bounds = await this.#log.bounds(this.#stream);
    if (bounds.isErr() || bounds.value.first <= this.#next) return false;
    const gap = { from: this.#next, first: bounds.value.first };
    this.#logger.warn('Records were trimmed before they were read.', gap);
    this.#next = gap.first;
    this.#trimListeners.forEach((handle) => handle(gap));
    return true;
  }

  #announce(): void {
    this.#progress.forEach((check) => check());
  }

  #until(condition: () => boolean, signal?: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isMet: boolean): void => {
        this.#progress.delete(check);
        signal?.removeEventListener('abort', abandon);
        resolve(isMet);
      };
      const check = (): void => {
        if (condition()) finish(true);
        else if (this.#stopping.signal.aborted) finish(false);
      };
      const abandon = (): void => finish(false);
      this.#progress.add(check);
      signal?.addEventListener('abort', abandon);
      if (signal?.aborted) finish(false);
      else check();
    });
  }
}

function reachesEnd({ records, next, end }: LogPage): boolean {
  return end === undefined ? records.length < PAGE_LIMIT : next >= end;
}
