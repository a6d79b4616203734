/** Decides when a process renews the snapshot, so that only few of many processes do. */
import type { Millis, MonoTime, Offset, RandomSource, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { parseSnapshot } from './projection';

const MAX_LATER_RECORDS = 64;
const RENEWAL_AGE_FRACTION = 0.5;
// The density grows by the factor e^10 from no delay to the maximum.
const STEEPNESS = 10;

/** The distribution of the random delays before a renewal. */
export abstract class DelayPolicy {
  /**
   * Draws a delay.
   *
   * @param maxDelayMs - the maximum delay, in milliseconds
   * @param random - the random source
   * @returns the delay, in milliseconds
   */
  abstract draw(maxDelayMs: Millis, random: RandomSource): Millis;
}

/**
 * A uniform distribution. The number of processes that write before they read another's snapshot
 * grows with the number of processes.
 */
export class UniformDelay extends DelayPolicy {
  override draw(maxDelayMs: Millis, random: RandomSource): Millis {
    return maxDelayMs * random.fraction();
  }
}

/**
 * A distribution whose density grows exponentially with the delay. The few early delays lie far
 * apart whatever the number of processes, so that mostly one process writes.
 */
export class ExponentialDelay extends DelayPolicy {
  override draw(maxDelayMs: Millis, random: RandomSource): Millis {
    const scaled = 1 + (Math.exp(STEEPNESS) - 1) * random.fraction();
    return (maxDelayMs * Math.log(scaled)) / STEEPNESS;
  }
}

/** The log's retention, and the random delays of renewals. */
export interface SnapshotRenewalOptions {
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: Millis;
  /** The maximum delay between the moment a renewal is due and this process's write. */
  readonly maxDelayMs: Millis;
  /** Draws the delays. */
  readonly delayPolicy: DelayPolicy;
  readonly random: RandomSource;
}

interface SeenRecord {
  readonly offset: Offset;
  readonly appendedAt: WallTime;
}

/**
 * Tracks the newest snapshot on the log and when it has to be renewed. A snapshot can be used until
 * the log drops the first record after the snapshot's `asOf`, so a renewal is due well before that.
 */
export class SnapshotRenewal {
  readonly #options: SnapshotRenewalOptions;

  /**
   * The offset up to which the newest snapshot is current; -1 when every record since the log's
   * first one was read, undefined when no usable snapshot is known.
   */
  #asOf: number | undefined;

  /** The records after `#asOf`, oldest first. */
  #laterRecords: SeenRecord[] = [];

  /** When to write, once a renewal is due. */
  #attemptAt: MonoTime | undefined;

  /** @param options - the log's retention and the delays */
  constructor(options: SnapshotRenewalOptions) {
    this.#options = options;
  }

  /** Sets the offset at which reading starts or resumes; a gap may make the snapshot unusable. */
  seek(first: Offset): void {
    if (first === 0) this.#asOf = -1;
    else if (this.#asOf !== undefined && first > this.#asOf + 1) this.#asOf = undefined;
    this.#laterRecords = this.#laterRecords.filter((seen) => seen.offset >= first);
  }

  /** Updates the newest snapshot and the records after it from a record that was read. */
  observe(record: LogRecord): void {
    this.#laterRecords.push({ offset: record.offset, appendedAt: record.appendedAt });
    const snapshot = parseSnapshot(record);
    if (snapshot.isErr() || snapshot.value.asOf <= (this.#asOf ?? -1)) return;
    const { asOf } = snapshot.value;
    this.#asOf = asOf;
    this.#laterRecords = this.#laterRecords.filter((seen) => seen.offset > asOf);
    this.#attemptAt = undefined;
  }

  /**
   * Decides whether to write a snapshot now. After a decision to write, it decides so again at the
   * earliest after `maxDelayMs`.
   *
   * @param now - the monotonic time
   * @param wall - the wall-clock time, which is compared with that of the records
   * @returns whether to write
   */
  shouldWrite(now: MonoTime, wall: WallTime): boolean {
    const { maxDelayMs, delayPolicy, random } = this.#options;
    if (!this.#isDue(wall)) {
      this.#attemptAt = undefined;
      return false;
    }
    if (this.#attemptAt === undefined) {
      this.#attemptAt = (now + delayPolicy.draw(maxDelayMs, random)) as MonoTime;
      return false;
    }
    if (now < this.#attemptAt) return false;
    this.#attemptAt = (now + maxDelayMs + delayPolicy.draw(maxDelayMs, random)) as MonoTime;
    return true;
  }

  #isDue(wall: WallTime): boolean {
    if (this.#asOf === undefined) return true;
    const [oldest] = this.#laterRecords;
    if (oldest === undefined) return false;
    if (this.#laterRecords.length > MAX_LATER_RECORDS) return true;
    return wall - oldest.appendedAt > this.#options.retentionMs * RENEWAL_AGE_FRACTION;
  }
}
