/** Entries that bill requests on one log and report to one platform, driven by hand. */
import {
  type Failure,
  type IncarnationId,
  RandomSource,
  type RequestId,
  type ServiceId,
  type TeamId,
  createFailure,
} from '@hibiscushill/base';
import type {
  GuardOptions,
  ReportedWindow,
  UsageFigure,
  UsageReport,
  UsageReports,
} from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';

import {
  type AgentItem,
  FencedSender,
  USAGE_DUTY,
  type UsageItem,
  UsageLedger,
  UsageReporter,
  UsageWindows,
} from '../src';
import { DutyBench, type Member } from './duty-harness';

export const WINDOW_MS = 10_000;
export const GRACE_MS = 3_000;

/** The platform's side of the usage reports. */
export class PlatformReports implements Pick<UsageReports, 'read' | 'report'> {
  readonly seen: { window: string; report: UsageReport }[] = [];

  #losesAnswers = false;

  readonly #taken = new Map<string, ReportedWindow>();

  #highest = -1;

  setFaults(faults: { loseAnswers: boolean }): void {
    this.#losesAnswers = faults.loseAnswers;
  }

  read(window: string): ResultAsync<ReportedWindow | undefined, Failure> {
    return okAsync(this.#taken.get(window));
  }

  report(window: string, report: UsageReport, guard: GuardOptions): ResultAsync<void, Failure> {
    if (!guard.mayWrite()) return errAsync(createFailure('lease_short'));
    this.seen.push({ window, report });
    if (report.fencing < this.#highest) return errAsync(createFailure('fencing_stale'));
    this.#highest = report.fencing;
    if (!this.#taken.has(window)) {
      this.#taken.set(window, { ...report, figures: [...report.figures] });
    }
    if (!this.#losesAnswers) return okAsync(undefined);
    return errAsync(createFailure('platform_down', { run: 'may-have-run' }));
  }

  total(): number {
    const figures = [...this.#taken.values()].flatMap((entry) => entry.figures);
    return figures.reduce((sum, figure) => sum + figure.requests, 0);
  }
}

/** Finds a window that was reported with two figures. */
export function findTwoFigures(seen: PlatformReports['seen']): string | undefined {
  const first = new Map<string, string>();
  return seen.find(({ window, report }) => {
    const text = JSON.stringify(report.figures);
    const known = first.get(window) ?? text;
    first.set(window, known);
    return known !== text;
  })?.window;
}

/** One entry. */
export interface Entry {
  readonly member: Member;
  readonly ledger: UsageLedger;
  readonly windows: UsageWindows;
  readonly reporter: UsageReporter;
}

/** Several entries. */
export class UsageBench {
  readonly duty = new DutyBench();

  readonly reports = new PlatformReports();

  readonly entries: Entry[] = [];

  readonly #isNaive: boolean;

  readonly #dead = new Set<Entry>();

  constructor(options: { isNaive?: boolean } = {}) {
    this.#isNaive = options.isNaive ?? false;
  }

  join(name: string): Entry {
    const member = this.duty.join(name, { stream: 'usage', keeper: { duty: USAGE_DUTY } });
    const { clock, log, tail, keeper } = member;
    const random = new RandomSource(this.entries.length + 7);
    const incarnation = `${name}.1` as IncarnationId;
    const batch = { batchAgeMs: 500, batchItems: 5 };
    const ledger = new UsageLedger({ log, clock, incarnation, random, ...batch });
    const windows = new UsageWindows({ windowMs: WINDOW_MS });
    const sender = new FencedSender({ keeper });
    const { reports } = this;
    const graceMs = GRACE_MS;
    const options = { log, tail, clock, keeper, sender, windows, reports, graceMs };
    const reporter = new UsageReporter(options);
    const entry = { member, ledger, windows, reporter };
    this.entries.push(entry);
    ledger.start();
    if (!this.#isNaive) reporter.start();
    return entry;
  }

  item(number: number): UsageItem {
    return {
      request: `q${number}` as RequestId,
      team: `t${number % 2}` as TeamId,
      service: 's' as ServiceId,
      requests: 1,
      tokens: 10,
      finishedAt: this.duty.clock.wall(),
    };
  }

  kill(entry: Entry): void {
    this.#dead.add(entry);
    entry.member.gate.shut();
    entry.member.log.cut();
  }

  isDead(entry: Entry): boolean {
    return this.#dead.has(entry);
  }

  async pass(ms: number): Promise<void> {
    const stepMs = 250;
    for (let passed = 0; passed < ms; passed += stepMs) {
      await this.duty.pass(stepMs, stepMs);
      if (this.#isNaive) this.entries.forEach((entry) => this.#reportNaively(entry));
    }
  }

  // Reports what the holder itself counts, without a close on the log.
  #reportNaively(entry: Entry): void {
    const { member, windows } = entry;
    const { lease } = member.keeper;
    if (member.gate.isShut || !isSome(lease)) return;
    const due = member.clock.wall() - GRACE_MS - WINDOW_MS;
    windows.open
      .filter((window) => window <= due)
      .forEach((window) => {
        const { figures } = windows.close(window);
        const report = { reportId: `${window}`, fencing: lease.value.fencing, figures };
        const guard = { deadlineMs: 1_000, mayWrite: () => lease.value.covers(1_000) };
        void this.reports.report(`${window}`, report, guard);
      });
  }

  async stop(): Promise<void> {
    this.entries.forEach((entry) => {
      const { member } = entry;
      member.log.heal();
    });
    const ends = this.entries.flatMap((entry) => [entry.reporter.stop(), entry.ledger.stop(3_000)]);
    const stopped = this.duty.stop();
    await this.duty.pass(8_000, 500);
    await Promise.all([...ends, stopped]);
  }
}

/** An item as an agent hands it over. */
export function held(seq: number, item: UsageItem): AgentItem {
  return { ...item, seq };
}

export type { UsageFigure };
