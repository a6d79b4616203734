/** The agent's record of attempts: each runs at most once in this incarnation. */
import type { AttemptId, Clock, Millis, MonoTime } from '@hibiscushill/base';

import type { Attempt } from './attempt';

/** The ledger's bounds. */
export interface LedgerOptions {
  readonly clock: Clock;
  /** The most bytes of answers that are held. */
  readonly storeBytes?: number;
  /** How long a settled attempt or a tombstone is remembered, in milliseconds. */
  readonly rememberMs?: Millis;
  /** How long an idempotency key's answer is kept, in milliseconds. */
  readonly replayMs?: Millis;
}

const DEFAULT_STORE_BYTES = 32 * 1024 * 1024;
const DEFAULT_REMEMBER_MS = 30_000;
const DEFAULT_REPLAY_MS = 120_000;

/** A request that came with an idempotency key. */
export interface KeyedRequest {
  readonly attempt: AttemptId;
  readonly digest: string;
}

/** What is left of an attempt that is over, or that must not run. */
export interface Tombstone {
  readonly until: MonoTime;
  /** Whether the attempt may have run. */
  readonly ran: boolean;
}

interface KeyedEntry extends KeyedRequest {
  readonly until: MonoTime;
}

/** Attempts by id, tombstones of those that must not run, and idempotency keys. */
export class Ledger {
  readonly #clock: Clock;

  readonly #storeBytes: number;

  readonly #rememberMs: Millis;

  readonly #replayMs: Millis;

  readonly #attempts = new Map<AttemptId, Attempt>();

  readonly #tombstones = new Map<AttemptId, Tombstone>();

  #storedBytes = 0;

  readonly #keyed = new Map<string, KeyedEntry>();

  /** @param options - clock and bounds */
  constructor(options: LedgerOptions) {
    this.#clock = options.clock;
    this.#storeBytes = options.storeBytes ?? DEFAULT_STORE_BYTES;
    this.#rememberMs = options.rememberMs ?? DEFAULT_REMEMBER_MS;
    this.#replayMs = options.replayMs ?? DEFAULT_REPLAY_MS;
  }

  /** Every attempt that is remembered. */
  get attempts(): Iterable<Attempt> {
    return this.#attempts.values();
  }

  /** The attempts that are not settled. */
  get openCount(): number {
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

  /** Finds what is left of an attempt that is over or must not run. */
  findTombstone(id: AttemptId): Tombstone | undefined {
    return this.#tombstones.get(id);
  }

  /**
   * Makes sure that an attempt never runs from now on.
   *
   * @param id - the attempt
   * @param ran - whether it may have run already
   */
  bury(id: AttemptId, ran = false): void {
    this.#tombstones.set(id, { until: this.#laterBy(this.#rememberMs), ran });
  }

  /** Counts bytes of answers that are held from now on, or no longer. */
  countStored(bytes: number): void {
    this.#storedBytes += bytes;
  }

  /** Tells whether the held answers leave room for another. */
  hasRoom(): boolean {
    return this.#storedBytes < this.#storeBytes;
  }

  /** Finds the request that came with an idempotency key before. */
  findKeyed(key: string): KeyedRequest | undefined {
    return this.#keyed.get(key);
  }

  /** Remembers the request that came with an idempotency key. */
  addKeyed(key: string, request: KeyedRequest): void {
    this.#keyed.set(key, { ...request, until: this.#laterBy(this.#replayMs) });
  }

  /** Forgets an idempotency key whose request did not run. */
  removeKeyed(key: string): void {
    this.#keyed.delete(key);
  }

  /** Ends an attempt that its entry is done with. An idempotency key keeps its answer. */
  settle(attempt: Attempt): void {
    if (attempt.settledAt !== undefined) return;
    attempt.settle(this.#clock.mono());
    if (attempt.run.idempotencyKey === '') this.#forget(attempt);
  }

  /** Ends an attempt whose answer another entry may still ask for. */
  orphan(attempt: Attempt): void {
    if (attempt.run.retain && attempt.isWhole) attempt.settle(this.#clock.mono());
    else this.settle(attempt);
  }

  /** Forgets what is settled and old. */
  sweep(): void {
    const now = this.#clock.mono();
    for (const [id, { until }] of this.#tombstones) if (until < now) this.#tombstones.delete(id);
    for (const [key, entry] of this.#keyed) if (entry.until < now) this.#keyed.delete(key);
    for (const attempt of this.#attempts.values()) {
      if (this.#isForgettable(attempt, now)) this.#forget(attempt);
    }
  }

  #isForgettable(attempt: Attempt, now: MonoTime): boolean {
    if (attempt.settledAt === undefined) return false;
    return now - attempt.settledAt > this.#replayMs;
  }

  #forget(attempt: Attempt): void {
    this.bury(attempt.id, attempt.state !== 'refused');
    attempt.dropAnswer();
    this.#attempts.delete(attempt.id);
  }

  #laterBy(ms: Millis): MonoTime {
    return (this.#clock.mono() + ms) as MonoTime;
  }
}
