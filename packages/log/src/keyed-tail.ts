/** Follows a keyed log from its newest records on, for as long as the process runs. */
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

// Short enough that a reader's proof of freshness is renewed several times within the shortest
// bound on withdrawn keys, five seconds.
const WAIT_MS = 600;
const TIMEOUT_MS = 700;
const BACKOFF = { firstMs: 40, mostMs: 300 };

/** What a keyed tail follows, and with what. */
export interface KeyedTailOptions {
  readonly log: KeyedLog;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics?: Metrics;
  readonly waitMs?: Millis;
  /** How long a read may take beyond its wait, in milliseconds. */
  readonly timeoutMs?: Millis;
}

/** Takes what a keyed tail reads. */
export abstract class KeyedReader {
  /** Takes the newest record of every key; keys that are left out don't exist. */
  abstract onSnapshot(records: readonly KeyedRecord[]): void;

  /** Takes the next record. */
  abstract onRecord(record: KeyedRecord): void;
}

/** Hands a keyed log's records to a reader, and knows how fresh they are. */
export class KeyedTail {
  readonly #options: KeyedTailOptions;

  readonly #reader: KeyedReader;

  readonly #backoff: Backoff;

  readonly #logger: Logger;

  readonly #stopping = new AbortController();

  #next: Offset | undefined;

  #provenAt: MonoTime | undefined;

  #isLost = false;

  #task: Promise<void> | undefined;

  /**
   * @param options - the log and the times
   * @param reader - takes the records; it must not throw
   */
  constructor(options: KeyedTailOptions, reader: KeyedReader) {
    this.#options = options;
    this.#reader = reader;
    this.#backoff = new Backoff(options.random, BACKOFF);
    this.#logger = createLogger(`log.keyed.${options.log.name}`);
  }

  /**
   * When the last read that reached the log's end was sent: everything that was confirmed before
   * then has been handed out. Undefined before the first such read.
   */
  get provenAt(): MonoTime | undefined {
    return this.#provenAt;
  }

  /** How old the newest proof is, in milliseconds; infinite before the first. */
  get proofAgeMs(): Millis {
    return this.#provenAt === undefined ? Infinity : this.#options.clock.mono() - this.#provenAt;
  }

  /** Starts reading. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops reading and waits until the task has ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const failure =
        this.#next === undefined ? await this.#load() : await this.#follow(this.#next);
      if (failure) await this.#recover(failure);
      else this.#noticeAnswer();
    }
  }

  async #load(): Promise<Failure | undefined> {
    const sentAt = this.#options.clock.mono();
    const snapshot = await this.#options.log.newest();
    if (snapshot.isErr()) return snapshot.error;
    this.#reader.onSnapshot(snapshot.value.records);
    this.#next = snapshot.value.end;
    this.#provenAt = sentAt;
    return undefined;
  }

  async #follow(from: Offset): Promise<Failure | undefined> {
    const { clock, log, waitMs = WAIT_MS, timeoutMs = TIMEOUT_MS } = this.#options;
    const sentAt = clock.mono();
    const { signal } = this.#stopping;
    const page = await log.read(from, { waitMs, timeoutMs, signal });
    if (page.isErr()) return page.error;
    page.value.records.forEach((record) => this.#reader.onRecord(record));
    this.#next = page.value.next;
    if (page.value.next >= page.value.end) this.#provenAt = sentAt;
    return undefined;
  }

  async #recover(failure: Failure): Promise<void> {
    if (this.#stopping.signal.aborted) return;
    this.#options.metrics?.countRetry(failure.code);
    if (failure.code === 'offset_trimmed') {
      this.#logger.info('The history was dropped; reading the newest records again.');
      this.#next = undefined;
      return;
    }
    if (!this.#isLost) {
      const proofAgeMs = Math.round(this.proofAgeMs);
      this.#logger.warn('Lost the log.', {
        code: failure.code,
        detail: failure.detail,
        proofAgeMs,
      });
    }
    this.#isLost = true;
    await this.#options.clock.sleep(
      this.#backoff.next(failure.retryAfterMs),
      this.#stopping.signal,
    );
  }

  #noticeAnswer(): void {
    this.#backoff.reset();
    if (this.#isLost) this.#logger.info('Regained the log.', { next: this.#next ?? 0 });
    this.#isLost = false;
  }
}
