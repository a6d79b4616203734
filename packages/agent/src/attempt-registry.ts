/** Keeps track of the agent's attempts, so that each one runs at most once in this incarnation. */
import type { AttemptId, Clock, Millis, MonoTime } from '@hibiscushill/base';

import type { Attempt } from './attempt';

/** The limits of a registry. */
export interface AttemptRegistryOptions {
  readonly clock: Clock;
  /** The maximum total size of the stored responses, in bytes. */
  readonly maxStoredBytes?: number;
  /** How long a tombstone is kept. */
  readonly tombstoneRetentionMs?: Millis;
  /** How long a settled response and an idempotency key are kept. */
  readonly replayRetentionMs?: Millis;
}

const DEFAULT_MAX_STORED_BYTES = 32 * 1024 * 1024;
const DEFAULT_TOMBSTONE_RETENTION_MS = 30_000;
const DEFAULT_REPLAY_RETENTION_MS = 120_000;

/** The first attempt with an idempotency key. */
export interface IdempotencyRecord {
  readonly attempt: AttemptId;
  /** Digest of the request, to detect a key that is reused for another request. */
  readonly digest: string;
}

/** Marks an attempt that is over, or that must not run. */
export interface Tombstone {
  /** When the tombstone is removed. */
  readonly until: MonoTime;
  /** Whether the attempt may have run. */
  readonly mayHaveRun: boolean;
}

interface ExpiringIdempotencyRecord extends IdempotencyRecord {
  readonly until: MonoTime;
}

/** Attempts by id, tombstones of attempts that are over or must not run, and idempotency keys. */
export class AttemptRegistry {
  readonly #clock: Clock;

  readonly #maxStoredBytes: number;

  readonly #tombstoneRetentionMs: Millis;

  readonly #replayRetentionMs: Millis;

  readonly #attempts = new Map<AttemptId, Attempt>();

  readonly #tombstones = new Map<AttemptId, Tombstone>();

  #storedBytes = 0;

  readonly #idempotencyRecords = new Map<string, ExpiringIdempotencyRecord>();

  /** @param options - the clock and the limits */
  constructor(options: AttemptRegistryOptions) {
    this.#clock = options.clock;
    this.#maxStoredBytes = options.maxStoredBytes ?? DEFAULT_MAX_STORED_BYTES;
    this.#tombstoneRetentionMs = options.tombstoneRetentionMs ?? DEFAULT_TOMBSTONE_RETENTION_MS;
    this.#replayRetentionMs = options.replayRetentionMs ?? DEFAULT_REPLAY_RETENTION_MS;
  }

  /** Every attempt that was not removed yet. */
  get attempts(): Iterable<Attempt> {
    return this.#attempts.values();
  }

  /** The number of attempts that are not settled. */
  get unsettledCount(): number {
    let open = 0;
    for (const attempt of this.#attempts.values()) if (attempt.settledAt === undefined) open += 1;
    return open;
  }

  /** Finds an attempt. */
  find(id: AttemptId): Attempt | undefined {
    return this.#attempts.get(id);
  }

  /** Adds an attempt. */
  add(attempt: Attempt): void {
    this.#attempts.set(attempt.id, attempt);
  }

  /** Finds the tombstone of an attempt that is over or must not run. */
  findTombstone(id: AttemptId): Tombstone | undefined {
    return this.#tombstones.get(id);
  }

  /**
   * Adds a tombstone, so that an attempt never runs from now on.
   *
   * @param id - the attempt
   * @param mayHaveRun - whether it may have run already
   */
  addTombstone(id: AttemptId, mayHaveRun = false): void {
    this.#tombstones.set(id, {
      until: this.#timeAfter(this.#tombstoneRetentionMs),
      mayHaveRun,
    });
  }

  /** Adds to the size of the stored responses; a negative number for bytes that were dropped. */
  addStoredBytes(bytes: number): void {
    this.#storedBytes += bytes;
  }

  /** Whether the stored responses are below their limit, so that another one may be stored. */
  hasRoom(): boolean {
    return this.#storedBytes < this.#maxStoredBytes;
  }

  /** Finds the first attempt with an idempotency key. */
  findIdempotencyRecord(key: string): IdempotencyRecord | undefined {
    return this.#idempotencyRecords.get(key);
  }

  /** Stores the first attempt with an idempotency key. */
  addIdempotencyRecord(key: string, record: IdempotencyRecord): void {
    this.#idempotencyRecords.set(key, {
      ...record,
      until: this.#timeAfter(this.#replayRetentionMs),
    });
  }

  /** Removes an idempotency key whose request did not run. */
  removeIdempotencyRecord(key: string): void {
    this.#idempotencyRecords.delete(key);
  }

  /** Settles an attempt that its entry needs no longer. An idempotency key keeps its response. */
  settle(attempt: Attempt): void {
    if (attempt.settledAt !== undefined) return;
    attempt.markSettled(this.#clock.mono());
    if (attempt.run.idempotencyKey === '') this.#remove(attempt);
  }

  /** Settles an attempt whose entry didn't reconnect. A retained response is kept for others. */
  settleAbandoned(attempt: Attempt): void {
    if (attempt.run.retain && attempt.isComplete) attempt.markSettled(this.#clock.mono());
    else this.settle(attempt);
  }

  /** Removes expired attempts, tombstones and idempotency keys. */
  removeExpired(): void {
    const now = this.#clock.mono();
    for (const [id, { until }] of this.#tombstones) if (until < now) this.#tombstones.delete(id);
    for (const [key, record] of this.#idempotencyRecords)
      if (record.until < now) this.#idempotencyRecords.delete(key);
    for (const attempt of this.#attempts.values()) {
      if (this.#isExpired(attempt, now)) this.#remove(attempt);
    }
  }

  #isExpired(attempt: Attempt, now: MonoTime): boolean {
    if (attempt.settledAt === undefined) return false;
    return now - attempt.settledAt > this.#replayRetentionMs;
  }

  #remove(attempt: Attempt): void {
    this.addTombstone(attempt.id, attempt.state !== 'refused');
    attempt.dropResponse();
    this.#attempts.delete(attempt.id);
  }

  #timeAfter(ms: Millis): MonoTime {
    return (this.#clock.mono() + ms) as MonoTime;
  }
}
