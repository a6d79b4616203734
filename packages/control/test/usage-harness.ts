/** Several entries that log usage and report it to one platform, with time advanced by the test. */
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
  UsageBatcher,
  UsageReporter,
  UsageWindows,
} from '../src';
import { DutyCluster, type TestProcess } from './duty-harness';

export const WINDOW_MS = 10_000;
export const GRACE_MS = 3_000;

/** An in-memory platform that accepts the first report of each window. */
export class FakeUsageReports implements Pick<UsageReports, 'read' | 'report'> {
  readonly received: { window: string; report: UsageReport }[] = [];

  #losesAnswers = false;

  readonly #accepted = new Map<string, ReportedWindow>();

  #highestFencing = -1;

  setFaults(faults: { loseAnswers: boolean }): void {
    this.#losesAnswers = faults.loseAnswers;
  }

  read(window: string): ResultAsync<ReportedWindow | undefined, Failure> {
    return okAsync(this.#accepted.get(window));
  }

  report(window: string, report: UsageReport, guard: GuardOptions): ResultAsync<void, Failure> {
    if (!guard.mayWrite()) return errAsync(createFailure('lease_short'));
    this.received.push({ window, report });
    if (report.fencing < this.#highestFencing) return errAsync(createFailure('fencing_stale'));
    this.#highestFencing = report.fencing;
    if (!this.#accepted.has(window)) {
      this.#accepted.set(window, { ...report, figures: [...report.figures] });
    }
    if (!this.#losesAnswers) return okAsync(undefined);
    return errAsync(createFailure('platform_down', { run: 'may-have-run' }));
  }

  countRequests(): number {
    const figures = [...this.#accepted.values()].flatMap((entry) => entry.figures);
    return figures.reduce((sum, figure) => sum + figure.requests, 0);
  }
}

/** Finds a window that was reported with different figures. */
export function findConflictingWindow(received: FakeUsageReports['received']): string | undefined {
  const first = new Map<string, string>();
  return received.find(({ window, report }) => {
    const text = JSON.stringify(report.figures);
    const known = first.get(window) ?? text;
    first.set(window, known);
    return known !== text;
  })?.window;
}

/** One entry with its usage tasks. */
export interface TestEntry {
  readonly process: TestProcess;
  readonly batcher: UsageBatcher;
  readonly windows: UsageWindows;
  readonly reporter: UsageReporter;
}

/** Several entries that share a log and a platform. */
export class UsageCluster {
  readonly dutyCluster = new DutyCluster();

  readonly reports = new FakeUsageReports();

  readonly entries: TestEntry[] = [];

  readonly #reportsWithoutClose: boolean;

  readonly #killed = new Set<TestEntry>();

  constructor(options: { reportsWithoutClose?: boolean } = {}) {
    this.#reportsWithoutClose = options.reportsWithoutClose ?? false;
  }

  addEntry(name: string): TestEntry {
    const process = this.dutyCluster.addProcess(name, {
      stream: 'usage',
      elector: { duty: USAGE_DUTY },
    });
    const { clock, log, tail, elector } = process;
    const random = new RandomSource(this.entries.length + 7);
    const incarnation = `${name}.1` as IncarnationId;
    const batch = { maxBatchAgeMs: 500, maxBatchItems: 5 };
    const batcher = new UsageBatcher({ log, clock, incarnation, random, ...batch });
    const windows = new UsageWindows({ windowMs: WINDOW_MS });
    const sender = new FencedSender({ elector });
    const { reports } = this;
    const graceMs = GRACE_MS;
    const options = { log, tail, clock, elector, sender, windows, reports, graceMs };
    const reporter = new UsageReporter(options);
    const entry = { process, batcher, windows, reporter };
    this.entries.push(entry);
    batcher.start();
    if (!this.#reportsWithoutClose) reporter.start();
    return entry;
  }

  createItem(number: number): UsageItem {
    return {
      request: `q${number}` as RequestId,
      team: `t${number % 2}` as TeamId,
      service: 's' as ServiceId,
      requests: 1,
      tokens: 10,
      finishedAt: this.dutyCluster.clock.wall(),
    };
  }

  /** Stops an entry permanently, without a release of its duty. */
  kill(entry: TestEntry): void {
    this.#killed.add(entry);
    entry.process.gate.close();
    entry.process.log.disconnect();
  }

  isKilled(entry: TestEntry): boolean {
    return this.#killed.has(entry);
  }

  async advance(ms: number): Promise<void> {
    const stepMs = 250;
    for (let passed = 0; passed < ms; passed += stepMs) {
      await this.dutyCluster.advance(stepMs, stepMs);
      if (this.#reportsWithoutClose) this.entries.forEach((entry) => this.#reportOwnCount(entry));
    }
  }

  // Reports the figures that the holder counts itself, without fixing them by a close on the log.
  #reportOwnCount(entry: TestEntry): void {
    const { process, windows } = entry;
    const { lease } = process.elector;
    if (process.gate.isClosed || !isSome(lease)) return;
    const latestDue = process.clock.wall() - GRACE_MS - WINDOW_MS;
    windows.openWindows
      .filter((window) => window <= latestDue)
      .forEach((window) => {
        const { figures } = windows.computeFigures(window);
        const report = { reportId: `${window}`, fencing: lease.value.fencing, figures };
        const guard = { deadlineMs: 1_000, mayWrite: () => lease.value.covers(1_000) };
        void this.reports.report(`${window}`, report, guard);
      });
  }

  async stop(): Promise<void> {
    this.entries.forEach((entry) => {
      const { process } = entry;
      process.log.reconnect();
    });
    const stops = this.entries.flatMap((entry) => [
      entry.reporter.stop(),
      entry.batcher.stop(3_000),
    ]);
    const stopped = this.dutyCluster.stop();
    await this.dutyCluster.advance(8_000, 500);
    await Promise.all([...stops, stopped]);
  }
}

/** Creates an item as an agent sends it to an entry. */
export function createAgentItem(seq: number, item: UsageItem): AgentItem {
  return { ...item, seq };
}

export type { UsageFigure };
