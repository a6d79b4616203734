/** A log in memory with configurable faults, for tests and fake platform services. */
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

const DEFAULT_PAGE_LIMIT = 500;
const SECOND_MS = 1_000;

/** The faults that the log simulates. Probabilities are from 0 to 1. */
export interface LogFaults {
  /** Every call fails at once, without effect. */
  readonly outage: boolean;
  /** Every call fails without effect, an append as if its response had been lost. */
  readonly silent: boolean;
  /** The delay before each call takes effect, in milliseconds. */
  readonly slowMs: Millis;
  /** The probability that an append takes effect but its response is lost. */
  readonly loseAnswers: number;
  /** The probability that an append's response is lost and it takes effect after `landLateMs`. */
  readonly landLate: number;
  readonly landLateMs: Millis;
  /** The maximum rate of appends per second, beyond which they fail; 0 for no limit. */
  readonly appendsPerSecond: number;
  /** The maximum number of records that each stream keeps. */
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

/**
 * What happened to an append. `lost`: it took effect, but its response was lost; `late`: it will
 * take effect later; `landed`: a late append took effect; `outage`, `silent` and `limited`: it had
 * no effect because of that fault.
 */
export interface AppendEvent {
  readonly stream: string;
  readonly ids: readonly string[];
  readonly kinds: readonly string[];
  readonly outcome: 'answered' | 'lost' | 'late' | 'landed' | 'outage' | 'silent' | 'limited';
  /** The offset of the first record, once the append took effect. */
  readonly offset?: Offset;
}

/** The clock and the random source of the log, and a listener for its appends. */
export interface MemoryLogOptions {
  readonly clock: Clock;
  readonly random?: RandomSource;
  readonly onAppend?: (event: AppendEvent) => void;
}

/** A log that keeps its records in memory and simulates faults. */
export class MemoryLog extends Log {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #onAppend: (event: AppendEvent) => void;

  readonly #streams = new MemoryStreams();

  #faults = NO_FAULTS;

  /** Token bucket for `appendsPerSecond`. */
  #appendTokens = 0;

  #appendTokensUpdatedAt = 0;

  /** @param options - the clock, the source of random faults, and the listener for appends */
  constructor(options: MemoryLogOptions) {
    super();
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
    this.#onAppend = options.onAppend ?? (() => undefined);
  }

  /** The current faults. */
  get faults(): LogFaults {
    return this.#faults;
  }

  /**
   * Changes some of the faults.
   *
   * @param faults - the faults to change; the others stay as they are
   */
  setFaults(faults: Partial<LogFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    this.#appendTokens = this.#faults.appendsPerSecond;
    this.#appendTokensUpdatedAt = this.#clock.mono();
    this.#applyRetention();
  }

  /**
   * Drops a stream's records before an offset.
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
    const report = (outcome: AppendEvent['outcome'], offset?: Offset): void =>
      this.#onAppend(createAppendEvent(stream, records, outcome, offset));
    const { faults } = this;
    await this.#delayResponse();
    if (faults.outage) {
      report('outage');
      return err(createFailure('platform_down', { detail: 'outage' }));
    }
    if (faults.silent) {
      report('silent');
      return err(createNoResponseFailure());
    }
    if (!this.#takeAppendToken()) {
      report('limited');
      return err(
        createFailure('platform_down', { detail: 'rate limit exceeded', retryAfterMs: SECOND_MS }),
      );
    }
    if (this.#random.fraction() < faults.landLate) {
      report('late');
      void this.#storeLate(stream, records, faults.landLateMs, report);
      return err(createNoResponseFailure());
    }
    const offset = this.#store(stream, records);
    const isLost = this.#random.fraction() < faults.loseAnswers;
    report(isLost ? 'lost' : 'answered', offset);
    return isLost ? err(createNoResponseFailure()) : ok(offset);
  }

  async #storeLate(
    stream: StreamName,
    records: readonly NewRecord[],
    afterMs: Millis,
    report: (outcome: AppendEvent['outcome'], offset: Offset) => void,
  ): Promise<void> {
    await this.#clock.sleep(afterMs);
    report('landed', this.#store(stream, records));
  }

  #store(stream: StreamName, records: readonly NewRecord[]): Offset {
    const offset = this.#streams.append(stream, records, this.#clock.wall());
    this.#applyRetention();
    return offset;
  }

  async #read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions,
  ): Promise<Result<LogPage, Failure>> {
    const { limit = DEFAULT_PAGE_LIMIT, waitMs = 0, signal } = options;
    await this.#delayResponse();
    this.#applyRetention();
    if (waitMs > 0 && !this.#isUnavailable && this.#streams.bounds(stream).next <= from) {
      await this.#waitForAppend(stream, waitMs, signal);
    }
    if (this.#isUnavailable) return err(createFailure('platform_down', { detail: 'outage' }));
    const { first, next } = this.#streams.bounds(stream);
    if (from < first) {
      return err(createFailure('offset_trimmed', { detail: JSON.stringify({ first, next }) }));
    }
    const records = this.#streams.read(stream, from, limit);
    return ok({ records, next: (from + records.length) as Offset });
  }

  async #waitForAppend(stream: StreamName, waitMs: Millis, signal?: AbortSignal): Promise<void> {
    const done = new AbortController();
    const signals = signal ? [done.signal, signal] : [done.signal];
    const timeout = this.#clock.sleep(waitMs, AbortSignal.any(signals));
    await Promise.race([this.#streams.waitForAppend(stream), timeout]);
    done.abort();
  }

  async #bounds(stream: StreamName): Promise<Result<StreamBounds, Failure>> {
    await this.#delayResponse();
    this.#applyRetention();
    if (this.#isUnavailable) return err(createFailure('platform_down', { detail: 'outage' }));
    return ok(this.#streams.bounds(stream));
  }

  get #isUnavailable(): boolean {
    return this.#faults.outage || this.#faults.silent;
  }

  async #delayResponse(): Promise<void> {
    if (this.#faults.slowMs > 0) await this.#clock.sleep(this.#faults.slowMs);
  }

  #applyRetention(): void {
    const { keepCount, keepMs } = this.#faults;
    if (keepCount === Infinity && keepMs === Infinity) return;
    this.#streams.applyRetention({ keepCount, keepMs }, this.#clock.wall());
  }

  #takeAppendToken(): boolean {
    const rate = this.#faults.appendsPerSecond;
    if (rate === 0) return true;
    const now = this.#clock.mono();
    const refill = ((now - this.#appendTokensUpdatedAt) * rate) / SECOND_MS;
    this.#appendTokens = Math.min(rate, this.#appendTokens + refill);
    this.#appendTokensUpdatedAt = now;
    if (this.#appendTokens < 1) return false;
    this.#appendTokens -= 1;
    return true;
  }
}

function createNoResponseFailure(): Failure {
  return createFailure('platform_down', { detail: 'no response', run: 'may-have-run' });
}

function createAppendEvent(
  stream: string,
  records: readonly NewRecord[],
  outcome: AppendEvent['outcome'],
  offset: Offset | undefined,
): AppendEvent {
  const ids = records.map((record) => record.id);
  const kinds = records.map((record) => record.kind);
  return { stream, ids, kinds, outcome, ...(offset !== undefined && { offset }) };
}
