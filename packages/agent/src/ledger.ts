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

  readonly #tombstones = new Map<AttemptId, MonoTime>();

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

  /** The attempts that are not done, or done and not yet settled. */
  get openCount(): number {
    let open = 0;
    for (const attempt of this.#attempts.values()) {
      if (!attempt.isDone || attempt.settledAt === undefined) open += 1;
    }
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

  /** Tells whether an attempt must not run. */
  isBuried(id: AttemptId): boolean {
    return this.#tombstones.has(id);
  }

  /** Makes sure that an attempt which has not arrived never runs. */
  bury(id: AttemptId): void {
    this.#tombstones.set(id, this.#laterBy(this.#rememberMs));
  }

  /** Tells whether the held answers leave room for another. */
  hasRoom(): boolean {
    let bytes = 0;
    for (const attempt of this.#attempts.values()) bytes += attempt.storedBytes;
    return bytes < this.#storeBytes;
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

  /** Marks an attempt as settled. Its answer is freed, unless an idempotency key keeps it. */
  settle(attempt: Attempt): void {
    attempt.settle(this.#clock.mono());
    if (attempt.run.idempotencyKey === '') attempt.dropAnswer();
  }

  /** Marks an attempt as settled whose answer another entry may still ask for. */
  orphan(attempt: Attempt): void {
    if (attempt.run.retain && attempt.isWhole) attempt.settle(this.#clock.mono());
    else this.settle(attempt);
  }

  /** Forgets what is settled and old. */
  sweep(): void {
    const now = this.#clock.mono();
    for (const [id, until] of this.#tombstones) if (until < now) this.#tombstones.delete(id);
    for (const [key, entry] of this.#keyed) if (entry.until < now) this.#keyed.delete(key);
    for (const attempt of this.#attempts.values()) {
      if (this.#isForgettable(attempt, now)) this.#attempts.delete(attempt.id);
    }
  }

  #isForgettable(attempt: Attempt, now: MonoTime): boolean {
    if (attempt.settledAt === undefined) return false;
    const isKept = attempt.run.idempotencyKey !== '' || attempt.storedBytes > 0;
    const keepMs = isKept ? this.#replayMs : this.#rememberMs;
    return now - attempt.settledAt > keepMs;
  }

  #laterBy(ms: Millis): MonoTime {
    return (this.#clock.mono() + ms) as MonoTime;
  }
}
