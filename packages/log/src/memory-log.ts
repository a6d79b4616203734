/** A log in memory that fails on request, for tests and stand-ins. */
import {
  type Clock,
  type Failure,
  type Millis,
  type Offset,
  type RandomSource,
  createFailure,
  createRandomSource,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';

import {
  Log,
  type LogPage,
  type NewRecord,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from './log';
import { MemoryStreams } from './memory-streams';

const PAGE_LIMIT = 500;
const SECOND_MS = 1_000;

/** How the log misbehaves. Shares are from 0 to 1. */
export interface LogFaults {
  /** Every call fails without effect. */
  readonly outage: boolean;
  /** No call is answered or has an effect. */
  readonly silent: boolean;
  /** How long each answer takes, in milliseconds. */
  readonly slowMs: Millis;
  /** The share of appends that take effect and get no answer. */
  readonly loseAnswers: number;
  /** The share of appends that get no answer and take effect after `landLateMs`. */
  readonly landLate: number;
  readonly landLateMs: Millis;
  /** Appends a second beyond which the log refuses; zero for no bound. */
  readonly appendsPerSecond: number;
  /** The most records that each stream keeps. */
  readonly keepCount: number;
  /** How long each record is kept, in milliseconds. */
  readonly keepMs: Millis;
}

const NO_FAULTS: LogFaults = {
  outage: false,
  silent: false,
  slowMs: 0,
  loseAnswers: 0,
  landLate: 0,
  landLateMs: 1_000,
  appendsPerSecond: 0,
  keepCount: Infinity,
  keepMs: Infinity,
};

/** What became of one append. */
export interface AppendEvent {
  readonly stream: string;
  readonly ids: readonly string[];
  readonly kinds: readonly string[];
  readonly outcome: 'answered' | 'lost' | 'late' | 'landed' | 'outage' | 'silent' | 'limited';
  readonly offset?: Offset;
}

/** What the log runs on. */
export interface MemoryLogOptions {
  readonly clock: Clock;
  readonly random?: RandomSource;
  readonly onAppend?: (event: AppendEvent) => void;
}

/** A log that lives as long as the process. */
export class MemoryLog extends Log {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #onAppend: (event: AppendEvent) => void;

  readonly #streams = new MemoryStreams();

  #faults = NO_FAULTS;

  #allowance = 0;

  #allowanceAt = 0;

  /** @param options - the clock, the source of random faults, and who is told of appends */
  constructor(options: MemoryLogOptions) {
    super();
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
    this.#onAppend = options.onAppend ?? (() => undefined);
  }

  /** The faults in force. */
  get faults(): LogFaults {
    return this.#faults;
  }

  /**
   * Changes some of the faults.
   *
   * @param faults - the faults to set; the others stay
   */
  setFaults(faults: Partial<LogFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    this.#allowance = this.#faults.appendsPerSecond;
    this.#allowanceAt = this.#clock.mono();
    this.#retain();
  }

  /**
   * Drops the records of a stream before an offset.
   *
   * @param stream - the stream
   * @param first - the first offset to keep
   */
  trim(stream: StreamName, first: number): void {
    this.#streams.trim(stream, first);
  }

  override append(stream: StreamName, records: readonly NewRecord[]): ResultAsync<Offset, Failure> {
    return new ResultAsync(this.#append(stream, records));
  }

  override read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions = {},
  ): ResultAsync<LogPage, Failure> {
    return new ResultAsync(this.#read(stream, from, options));
  }

  override bounds(stream: StreamName): ResultAsync<StreamBounds, Failure> {
    return new ResultAsync(this.#bounds(stream));
  }

  async #append(
    stream: StreamName,
    records: readonly NewRecord[],
  ): Promise<Result<Offset, Failure>> {
    const note = (outcome: AppendEvent['outcome'], offset?: Offset): void =>
      this.#onAppend(describe(stream, records, outcome, offset));
    const { faults } = this;
    await this.#delay();
    if (faults.outage) {
      note('outage');
      return err(createFailure('platform_down', { detail: 'outage' }));
    }
    if (faults.silent) {
      note('silent');
      return err(unanswered());
    }
    if (!this.#takeAllowance()) {
      note('limited');
      return err(createFailure('platform_down', { detail: 'rate', retryAfterMs: SECOND_MS }));
    }
    if (this.#random.fraction() < faults.landLate) {
      note('late');
      void this.#land(stream, records, faults.landLateMs, note);
      return err(unanswered());
    }
    const offset = this.#store(stream, records);
    const isLost = this.#random.fraction() < faults.loseAnswers;
    note(isLost ? 'lost' : 'answered', offset);
    return isLost ? err(unanswered()) : ok(offset);
  }

  async #land(
    stream: StreamName,
    records: readonly NewRecord[],
    afterMs: Millis,
    note: (outcome: AppendEvent['outcome'], offset: Offset) => void,
  ): Promise<void> {
    await this.#clock.sleep(afterMs);
    note('landed', this.#store(stream, records));
  }

  #store(stream: StreamName, records: readonly NewRecord[]): Offset {
    const offset = this.#streams.append(stream, records, this.#clock.wall());
    this.#retain();
    return offset;
  }

  async #read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions,
  ): Promise<Result<LogPage, Failure>> {
    const { limit = PAGE_LIMIT, waitMs = 0, signal } = options;
    await this.#delay();
    this.#retain();
    if (waitMs > 0 && !this.#isDown && this.#streams.bounds(stream).next <= from) {
      await this.#waitForAppend(stream, waitMs, signal);
    }
    if (this.#isDown) return err(createFailure('platform_down', { detail: 'outage' }));
    const { first, next } = this.#streams.bounds(stream);
    if (from < first) {
      return err(createFailure('offset_trimmed', { detail: JSON.stringify({ first, next }) }));
    }
    const records = this.#streams.slice(stream, from, limit);
    return ok({ records, next: (from + records.length) as Offset });
  }

  async #waitForAppend(stream: StreamName, waitMs: Millis, signal?: AbortSignal): Promise<void> {
    const enough = new AbortController();
    const signals = signal ? [enough.signal, signal] : [enough.signal];
    const timeout = this.#clock.sleep(waitMs, AbortSignal.any(signals));
    await Promise.race([this.#streams.nextAppend(stream), timeout]);
    enough.abort();
  }

  async #bounds(stream: StreamName): Promise<Result<StreamBounds, Failure>> {
    await this.#delay();
    this.#retain();
    if (this.#isDown) return err(createFailure('platform_down', { detail: 'outage' }));
    return ok(this.#streams.bounds(stream));
  }

  get #isDown(): boolean {
    return this.#faults.outage || this.#faults.silent;
  }

  async #delay(): Promise<void> {
    if (this.#faults.slowMs > 0) await this.#clock.sleep(this.#faults.slowMs);
  }

  #retain(): void {
    const { keepCount, keepMs } = this.#faults;
    if (keepCount === Infinity && keepMs === Infinity) return;
    this.#streams.retain({ keepCount, keepMs }, this.#clock.wall());
  }

  #takeAllowance(): boolean {
    const rate = this.#faults.appendsPerSecond;
    if (rate === 0) return true;
    const now = this.#clock.mono();
    const earned = ((now - this.#allowanceAt) * rate) / SECOND_MS;
    this.#allowance = Math.min(rate, this.#allowance + earned);
    this.#allowanceAt = now;
    if (this.#allowance < 1) return false;
    this.#allowance -= 1;
    return true;
  }
}

function unanswered(): Failure {
  return createFailure('platform_down', { detail: 'no answer', run: 'may-have-run' });
}

function describe(
  stream: string,
  records: readonly NewRecord[],
  outcome: AppendEvent['outcome'],
  offset: Offset | undefined,
): AppendEvent {
  const ids = records.map((record) => record.id);
  const kinds = records.map((record) => record.kind);
  return { stream, ids, kinds, outcome, ...(offset !== undefined && { offset }) };
}
