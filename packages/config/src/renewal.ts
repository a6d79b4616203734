/** When a process renews the snapshot, so that of many processes few do. */
import type { Millis, MonoTime, Offset, RandomSource, WallTime } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import { readSnapshot } from './history';

const RENEW_RECORDS = 64;
const RENEW_SHARE = 0.5;
const STEEPNESS = 10;

/** How a delay is drawn from the spread. */
export abstract class DelayPolicy {
  /**
   * Draws a delay.
   *
   * @param spreadMs - the greatest delay, in milliseconds
   * @param random - the random source
   * @returns the delay, in milliseconds
   */
  abstract draw(spreadMs: Millis, random: RandomSource): Millis;
}

/** Every delay is as likely. The number of processes that act rises with the number of all. */
export class UniformDelay extends DelayPolicy {
  override draw(spreadMs: Millis, random: RandomSource): Millis {
    return spreadMs * random.fraction();
  }
}

/**
 * Late delays are exponentially more likely, so that the few early ones come one at a time,
 * whatever the number of processes.
 */
export class ExponentialDelay extends DelayPolicy {
  override draw(spreadMs: Millis, random: RandomSource): Millis {
    const scaled = 1 + (Math.exp(STEEPNESS) - 1) * random.fraction();
    return (spreadMs * Math.log(scaled)) / STEEPNESS;
  }
}

/** The bounds of renewal. */
export interface RenewalOptions {
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: Millis;
  /** The greatest delay between the moment a renewal is due and this process's try. */
  readonly spreadMs: Millis;
  readonly delay: DelayPolicy;
  readonly random: RandomSource;
}

interface SeenRecord {
  readonly offset: Offset;
  readonly appendedAt: WallTime;
}

/**
 * Tracks the newest snapshot on the log and how long it stands: until the log drops the first
 * record after the offset that the snapshot was made at.
 */
export class SnapshotRenewal {
  readonly #options: RenewalOptions;

  #asOf: number | undefined;

  #since: SeenRecord[] = [];

  #tryAt: MonoTime | undefined;

  /** @param options - retention, spread and how delays are drawn */
  constructor(options: RenewalOptions) {
    this.#options = options;
  }

  /** Notes that reading begins, or goes on, at an offset. */
  readFrom(first: Offset): void {
    if (first === 0) this.#asOf = -1;
    else if (this.#asOf !== undefined && first > this.#asOf + 1) this.#asOf = undefined;
    this.#since = this.#since.filter((seen) => seen.offset >= first);
  }

  /** Notes a record that was read. */
  note(record: LogRecord): void {
    this.#since.push({ offset: record.offset, appendedAt: record.appendedAt });
    const snapshot = readSnapshot(record);
    if (snapshot.isErr() || snapshot.value.asOf <= (this.#asOf ?? -1)) return;
    const { asOf } = snapshot.value;
    this.#asOf = asOf;
    this.#since = this.#since.filter((seen) => seen.offset > asOf);
    this.#tryAt = undefined;
  }

  /**
   * Decides whether to write a snapshot now. Once it says yes, the next yes comes a spread later
   * at the soonest.
   *
   * @param now - the monotonic time
   * @param wall - the wall-clock time, to compare with the log's
   * @returns whether to write
   */
  isTime(now: MonoTime, wall: WallTime): boolean {
    const { spreadMs, delay, random } = this.#options;
    if (!this.#isDue(wall)) {
      this.#tryAt = undefined;
      return false;
    }
    if (this.#tryAt === undefined) {
      this.#tryAt = (now + delay.draw(spreadMs, random)) as MonoTime;
      return false;
    }
    if (now < this.#tryAt) return false;
    this.#tryAt = (now + spreadMs + delay.draw(spreadMs, random)) as MonoTime;
    return true;
  }

  #isDue(wall: WallTime): boolean {
    if (this.#asOf === undefined) return true;
    const [oldest] = this.#since;
    if (oldest === undefined) return false;
    if (this.#since.length > RENEW_RECORDS) return true;
    return wall - oldest.appendedAt > this.#options.retentionMs * RENEW_SHARE;
  }
}
