/**
 * Several processes that compete for one duty on a log in memory, with time advanced by the test.
 */
import {
  type Failure,
  type IncarnationId,
  type InstanceId,
  ManualClock,
  type Offset,
  RandomSource,
  type RecordId,
  type WallTime,
  createFailure,
} from '@hibiscushill/base';
import { Log, type LogRecord, LogTail, MemoryLog, type StreamName } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';
import { ResultAsync, errAsync } from 'neverthrow';

import { DutyElector, type DutyElectorOptions } from '../src';

export const DUTY = 'targets/ba';

const EVENT_LOOP_TURNS = 12;

/** A process's clock, which doesn't advance while the process is paused. `rate` is its speed. */
export class ProcessClock extends ManualClock {
  #missedMs = 0;

  constructor(
    start: number,
    readonly gate: PauseGate,
    readonly rate: number,
  ) {
    super(start);
  }

  /** Advances by true time; while the process is paused, the time is added at its end. */
  tick(ms: number): void {
    if (this.gate.isClosed) this.#missedMs += ms * this.rate;
    else this.advance(ms * this.rate);
  }

  /** Ends a pause: advances by the time missed, before the delayed responses arrive. */
  resume(): void {
    const missedMs = this.#missedMs;
    this.#missedMs = 0;
    this.advance(missedMs);
    this.gate.open();
  }
}

/** Delays the log's responses while a process is paused. */
export class PauseGate {
  isClosed = false;

  #waiting: (() => void)[] = [];

  close(): void {
    this.isClosed = true;
  }

  async waitUntilOpen<T>(value: T): Promise<T> {
    if (this.isClosed) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    return value;
  }

  open(): void {
    this.isClosed = false;
    this.#waiting.splice(0).forEach((resume) => resume());
  }
}

/** One process's connection to the log, which can fail for all calls or only for reads. */
export class ProcessLog extends Log {
  isDisconnected = false;

  failsReads = false;

  constructor(
    readonly inner: MemoryLog,
    readonly gate: PauseGate,
  ) {
    super();
  }

  disconnect(): void {
    this.isDisconnected = true;
  }

  reconnect(): void {
    this.isDisconnected = false;
  }

  override append(...args: Parameters<Log['append']>): ReturnType<Log['append']> {
    return this.#call(() => this.inner.append(args[0], args[1]));
  }

  override read(...args: Parameters<Log['read']>): ReturnType<Log['read']> {
    return this.#call(() => this.inner.read(...args), this.failsReads);
  }

  override bounds(...args: Parameters<Log['bounds']>): ReturnType<Log['bounds']> {
    return this.#call(() => this.inner.bounds(...args), this.failsReads);
  }

  #call<T>(run: () => ResultAsync<T, Failure>, fails = false): ResultAsync<T, Failure> {
    if (this.isDisconnected || fails)
      return errAsync(createFailure('platform_down', { detail: 'disconnected' }));
    const answer = Promise.resolve(run()).then((result) => this.gate.waitUntilOpen(result));
    return new ResultAsync(answer);
  }
}

/** A process with its own clock, its own connection to the log, and its elector. */
export interface TestProcess {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly gate: PauseGate;
  readonly log: ProcessLog;
  readonly tail: LogTail;
  readonly elector: DutyElector;
}

/** The clock's rate, the stream and the elector's options where they differ from the defaults. */
export interface TestProcessOptions {
  readonly rate?: number;
  readonly stream?: StreamName;
  readonly elector?: Partial<DutyElectorOptions>;
}

/** Lets the event loop run until pending promises have settled. */
export async function runPendingTasks(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** A log and the processes that use it. */
export class DutyCluster {
  readonly clock = new ManualClock();

  readonly log: MemoryLog;

  readonly processes: TestProcess[] = [];

  constructor(seed = 1) {
    this.log = new MemoryLog({ clock: this.clock, random: new RandomSource(seed) });
  }

  addProcess(name: string, options: TestProcessOptions = {}): TestProcess {
    const gate = new PauseGate();
    const clock = new ProcessClock(this.clock.mono(), gate, options.rate ?? 1);
    const log = new ProcessLog(this.log, gate);
    const random = new RandomSource(this.processes.length + 1);
    const { stream = 'targets' } = options;
    const tail = new LogTail({ log, stream, clock, random });
    const elector = new DutyElector({
      log,
      tail,
      stream,
      duty: DUTY,
      holder: name as InstanceId,
      incarnation: `${name}.1` as IncarnationId,
      clock,
      random,
      ...options.elector,
    });
    const process = { name, clock, gate, log, tail, elector };
    this.processes.push(process);
    tail.start();
    elector.start();
    return process;
  }

  /** Advances the time of the log and of all processes in steps. */
  async advance(ms: number, stepMs = 50): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      this.processes.forEach((process) => process.clock.tick(stepMs));
      await runPendingTasks();
    }
  }

  /** Advances until a condition is met and returns the time that took, in milliseconds. */
  async advanceUntil(condition: () => boolean, limitMs = 60_000): Promise<number> {
    let passed = 0;
    for (; passed < limitMs && !condition(); passed += 50) await this.advance(50);
    if (!condition()) throw new Error('The condition was not met in time.');
    return passed;
  }

  listHolders(): string[] {
    const holding = this.processes.filter((process) => isSome(process.elector.lease));
    return holding.map((process) => process.name);
  }

  /** Returns the kinds of all records in the stream `targets`. */
  async readRecordKinds(): Promise<string[]> {
    const page = await this.log.read('targets', 0 as Offset);
    return page._unsafeUnwrap().records.map((record) => record.kind);
  }

  async stop(): Promise<void> {
    this.processes.forEach((process) => process.clock.resume());
    this.log.setFaults({ outage: false, silent: false, slowMs: 0 });
    const stops = this.processes.map((process) =>
      Promise.all([process.elector.release(), process.tail.stop()]),
    );
    await this.advance(2_000, 500);
    await Promise.all(stops);
  }
}

/** Creates a record as a read of the log returns it. */
export function createRecord(offset: number, kind: string, payload: unknown): LogRecord {
  return {
    offset: offset as Offset,
    id: `r${offset}` as RecordId,
    kind,
    payload,
    appendedAt: offset as WallTime,
  };
}
