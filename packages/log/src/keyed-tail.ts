/** Follows a keyed log: first a snapshot of its newest records, then each further record. */
import {
  type Clock,
  type Failure,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type Offset,
  type RandomSource,
  createLogger,
} from '@hibiscushill/base';

import { Backoff } from './backoff';
import type { KeyedLog, KeyedRecord } from './keyed-log';

// Short enough for several reads within the shortest limit on how long a withdrawn key may still be
// accepted, 5 s.
const DEFAULT_WAIT_MS = 600;
const DEFAULT_TIMEOUT_MS = 700;
const BACKOFF = { initialMs: 40, maxMs: 300 };

/** The keyed log that a tail follows, and how it reads. */
export interface KeyedTailOptions {
  readonly log: KeyedLog;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics?: Metrics;
  /** How long the log waits for a record before it returns an empty page, in milliseconds. */
  readonly waitMs?: Millis;
  /** How long a read may take in addition to `waitMs`, in milliseconds. */
  readonly timeoutMs?: Millis;
}

/** Receives the records that a keyed tail reads. */
export abstract class KeyedRecordHandler {
  /** Receives the newest record of every key; a key that is absent doesn't exist. */
  abstract onSnapshot(records: readonly KeyedRecord[]): void;

  /** Receives the next record after the snapshot. */
  abstract onRecord(record: KeyedRecord): void;
}

/** Passes a keyed log's records to a handler, and tracks how up to date the handler is. */
export class KeyedTail {
  readonly #options: KeyedTailOptions;

  readonly #handler: KeyedRecordHandler;

  readonly #backoff: Backoff;

  readonly #logger: Logger;

  readonly #stopping = new AbortController();

  #next: Offset | undefined;

  #caughtUpAt: MonoTime | undefined;

  #isDisconnected = false;

  #task: Promise<void> | undefined;

  /**
   * @param options - the log and the timing of reads
   * @param handler - receives the records; what it throws is logged, and reading goes on
   */
  constructor(options: KeyedTailOptions, handler: KeyedRecordHandler) {
    this.#options = options;
    this.#handler = handler;
    this.#backoff = new Backoff(options.random, BACKOFF);
    this.#logger = createLogger(`log.keyed.${options.log.name}`);
  }

  /**
   * When the last read that reached the log's end was sent: every record whose append was
   * acknowledged before that time has been passed to the handler. Undefined before the first such
   * read.
   */
  get caughtUpAt(): MonoTime | undefined {
    return this.#caughtUpAt;
  }

  /**
   * The time since `caughtUpAt`, in milliseconds: how old the newest proof is that the handler has
   * every record. Infinite before the first such read.
   */
  get proofAgeMs(): Millis {
    return this.#caughtUpAt === undefined
      ? Infinity
      : this.#options.clock.mono() - this.#caughtUpAt;
  }

  /** Starts reading. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading and resolves once no read is in progress. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const failure =
        this.#next === undefined ? await this.#readSnapshot() : await this.#readPage(this.#next);
      if (failure) await this.#handleFailure(failure);
      else this.#handleSuccess();
    }
  }

  async #readSnapshot(): Promise<Failure | undefined> {
    const sentAt = this.#options.clock.mono();
    const snapshot = await this.#options.log.readSnapshot();
    if (snapshot.isErr()) return snapshot.error;
    this.#deliver(() => this.#handler.onSnapshot(snapshot.value.records));
    this.#next = snapshot.value.end;
    this.#caughtUpAt = sentAt;
    return undefined;
  }

  async #readPage(from: Offset): Promise<Failure | undefined> {
    const { clock, log, waitMs = DEFAULT_WAIT_MS, timeoutMs = DEFAULT_TIMEOUT_MS } = this.#options;
    const sentAt = clock.mono();
    const { signal } = this.#stopping;
    const page = await log.read(from, { waitMs, timeoutMs, signal });
    if (page.isErr()) return page.error;
    page.value.records.forEach((record) =>
      this.#deliver(() => this.#handler.onRecord(record), record.key),
    );
    this.#next = page.value.next;
    if (page.value.next >= page.value.end) this.#caughtUpAt = sentAt;
    return undefined;
  }

  /** Passes records on. A record that its handler can't take must not end the reading of others. */
  #deliver(handle: () => void, key?: string): void {
    try {
      handle();
    } catch (error) {
      this.#options.metrics?.count('log.handler_failed');
      this.#logger.error('A handler of records threw an error.', { key, error: String(error) });
    }
  }

  async #handleFailure(failure: Failure): Promise<void> {
    if (this.#stopping.signal.aborted) return;
    this.#options.metrics?.countRetry(failure.code);
    if (failure.code === 'offset_trimmed') {
      this.#logger.info('Records were dropped before they were read; reading the snapshot again.');
      this.#next = undefined;
      return;
    }
    if (!this.#isDisconnected) {
      const proofAgeMs = Math.round(this.proofAgeMs);
      this.#logger.warn('Lost contact with the log.', {
        code: failure.code,
        detail: failure.detail,
        proofAgeMs,
      });
    }
    this.#isDisconnected = true;
    await this.#options.clock.sleep(
      this.#backoff.next(failure.retryAfterMs),
      this.#stopping.signal,
    );
  }

  #handleSuccess(): void {
    this.#backoff.reset();
    if (this.#isDisconnected)
      this.#logger.info('Regained contact with the log.', { next: this.#next ?? 0 });
    this.#isDisconnected = false;
  }
}
