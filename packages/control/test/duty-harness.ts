/** Several keepers of one duty on one log in memory, driven by hand. */
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

import { DutyKeeper, type DutyKeeperOptions } from '../src';

export const DUTY = 'targets/ba';

const TURNS = 12;

/** A process's own view of time, which stands while the process is stopped. */
export class ProcessClock extends ManualClock {
  #missed = 0;

  constructor(
    start: number,
    readonly gate: Gate,
    readonly rate: number,
  ) {
    super(start);
  }

  tick(ms: number): void {
    if (this.gate.isShut) this.#missed += ms * this.rate;
    else this.advance(ms * this.rate);
  }

  wake(): void {
    const missed = this.#missed;
    this.#missed = 0;
    this.advance(missed);
    this.gate.open();
  }
}

/** Holds answers back while a process is stopped. */
export class Gate {
  isShut = false;

  #waiting: (() => void)[] = [];

  shut(): void {
    this.isShut = true;
  }

  async pass<T>(value: T): Promise<T> {
    if (this.isShut) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    return value;
  }

  open(): void {
    this.isShut = false;
    this.#waiting.splice(0).forEach((resume) => resume());
  }
}

/** The log as one process sees it, which may be cut off, or able to append only. */
export class ProcessLog extends Log {
  isCut = false;

  isBlind = false;

  constructor(
    readonly inner: MemoryLog,
    readonly gate: Gate,
  ) {
    super();
  }

  cut(): void {
    this.isCut = true;
  }

  heal(): void {
    this.isCut = false;
  }

  override append(...args: Parameters<Log['append']>): ReturnType<Log['append']> {
    return this.#call(() => this.inner.append(args[0], args[1]));
  }

  override read(...args: Parameters<Log['read']>): ReturnType<Log['read']> {
    return this.#call(() => this.inner.read(...args), this.isBlind);
  }

  override bounds(...args: Parameters<Log['bounds']>): ReturnType<Log['bounds']> {
    return this.#call(() => this.inner.bounds(...args), this.isBlind);
  }

  #call<T>(run: () => ResultAsync<T, Failure>, isBlind = false): ResultAsync<T, Failure> {
    if (this.isCut || isBlind) return errAsync(createFailure('platform_down', { detail: 'cut' }));
    const answer = Promise.resolve(run()).then((result) => this.gate.pass(result));
    return new ResultAsync(answer);
  }
}

/** One process with its own clock, its own way to the log, and its keeper. */
export interface Member {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly gate: Gate;
  readonly log: ProcessLog;
  readonly tail: LogTail;
  readonly keeper: DutyKeeper;
}

/** How a member differs from the others. */
export interface MemberOptions {
  readonly rate?: number;
  readonly stream?: StreamName;
  readonly keeper?: Partial<DutyKeeperOptions>;
}

/** Lets every pending promise run. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** A log and the processes on it, driven by hand. */
export class DutyBench {
  readonly clock = new ManualClock();

  readonly log: MemoryLog;

  readonly members: Member[] = [];

  constructor(seed = 1) {
    this.log = new MemoryLog({ clock: this.clock, random: new RandomSource(seed) });
  }

  join(name: string, options: MemberOptions = {}): Member {
    const gate = new Gate();
    const clock = new ProcessClock(this.clock.mono(), gate, options.rate ?? 1);
    const log = new ProcessLog(this.log, gate);
    const random = new RandomSource(this.members.length + 1);
    const { stream = 'targets' } = options;
    const tail = new LogTail({ log, stream, clock, random });
    const keeper = new DutyKeeper({
      log,
      tail,
      stream,
      duty: DUTY,
      holder: name as InstanceId,
      incarnation: `${name}.1` as IncarnationId,
      clock,
      random,
      ...options.keeper,
    });
    const member = { name, clock, gate, log, tail, keeper };
    this.members.push(member);
    tail.start();
    keeper.start();
    return member;
  }

  async pass(ms: number, stepMs = 50): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      this.members.forEach((member) => member.clock.tick(stepMs));
      await settle();
    }
  }

  async passUntil(condition: () => boolean, limitMs = 60_000): Promise<number> {
    let passed = 0;
    for (; passed < limitMs && !condition(); passed += 50) await this.pass(50);
    if (!condition()) throw new Error('The condition was not met in time.');
    return passed;
  }

  holders(): string[] {
    const holding = this.members.filter((member) => isSome(member.keeper.lease));
    return holding.map((member) => member.name);
  }

  async kinds(): Promise<string[]> {
    const page = await this.log.read('targets', 0 as Offset);
    return page._unsafeUnwrap().records.map((record) => record.kind);
  }

  async stop(): Promise<void> {
    this.members.forEach((member) => member.clock.wake());
    this.log.setFaults({ outage: false, silent: false, slowMs: 0 });
    const ends = this.members.map((member) =>
      Promise.all([member.keeper.release(), member.tail.stop()]),
    );
    await this.pass(2_000, 500);
    await Promise.all(ends);
  }
}

/** Makes a record as it stands on the log. */
export function createRecord(offset: number, kind: string, payload: unknown): LogRecord {
  return {
    offset: offset as Offset,
    id: `r${offset}` as RecordId,
    kind,
    payload,
    appendedAt: offset as WallTime,
  };
}
