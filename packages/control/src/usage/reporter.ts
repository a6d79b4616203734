/** Closes usage windows and reports their figures while this process holds the usage duty. */
import {
  type Clock,
  type Metrics,
  type Millis,
  type MonoTime,
  type RecordId,
  createId,
  createLogger,
} from '@hibiscushill/base';
import type { Log, LogTail, UsageReports } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

import type { DutyElector } from '../duty/elector';
import type { Lease } from '../duty/lease';
import { ProjectionReader } from '../duty/projection-reader';
import type { FencedSender } from '../order/fenced-sender';
import { type ClosedWindow, USAGE_KINDS, type WindowStart } from './records';
import type { UsageWindows } from './windows';

const GRACE_MS = 15_000;
const CHECK_PERIOD_MS = 1_000;
const SNAPSHOT_PERIOD_MS = 600_000;
const OUTAGE_AFTER_MS = 5_000;
const APPEND_TIMEOUT_MS = 2_000;

/** The log, the usage duty, the platform's interface, and when windows are closed and saved. */
export interface UsageReporterOptions {
  readonly log: Log;
  /** The tail of the stream `usage`. */
  readonly tail: LogTail;
  readonly clock: Clock;
  readonly elector: DutyElector;
  readonly sender: FencedSender;
  /** The windows. The reporter feeds them with the records of the tail. */
  readonly windows: UsageWindows;
  readonly reports: Pick<UsageReports, 'read' | 'report'>;
  /** How long after its end a window is closed, in milliseconds. */
  readonly graceMs?: Millis;
  /** The time between snapshots, in milliseconds; well below the log's retention. */
  readonly snapshotPeriodMs?: Millis;
  readonly metrics?: Metrics;
}

/** Closes and reports usage windows, and writes snapshots of them, as the holder of the duty. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;

  readonly #clock: Clock;

  readonly #logger = createLogger('control.usage');

  readonly #stopping = new AbortController();

  // Windows for which the platform was asked whether it has a report, and no response was lost
  // since. For any other window the platform is asked before a report is sent.
  readonly #checkedWindows = new Set<WindowStart>();

  // Windows for which the platform has a report with another id.
  readonly #conflictingWindows = new Set<WindowStart>();

  readonly #reader: ProjectionReader;

  // No window is closed before this time.
  #closeNotBefore: MonoTime;

  #task: Promise<void> | undefined;

  /** @param options - the log, the duty, the platform's interface and the timing */
  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#closeNotBefore = options.clock.mono();
    this.#reader = new ProjectionReader(options.log, 'usage', options.windows);
    options.tail.subscribe((record) => this.#reader.takeFromTail(record));
    options.elector.onGained(() => this.#checkedWindows.clear());
  }

  /** Starts to close and report windows. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops, after the report in flight has ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#detectOutage();
      const { lease } = this.#options.elector;
      if (isSome(lease)) await this.#closeAndReport(lease.value);
      await this.#clock.sleep(CHECK_PERIOD_MS, this.#stopping.signal);
    }
  }

  // After an outage of the log, other processes append the usage that they buffered. No window is
  // closed for a grace period, so that this usage is counted in its own window and not as late.
  #detectOutage(): void {
    const now = this.#clock.mono();
    const { caughtUpAt } = this.#options.tail;
    if (caughtUpAt === undefined || now - caughtUpAt > OUTAGE_AFTER_MS) {
      this.#closeNotBefore = (now + (this.#options.graceMs ?? GRACE_MS)) as MonoTime;
    }
  }

  async #closeAndReport(lease: Lease): Promise<void> {
    const { windows } = this.#options;
    if ((windows.next ?? 0) <= lease.fencing) return;
    if (!windows.isComplete) {
      this.#logger.warn(
        'The usage stream has no snapshot; usage in trimmed records is not counted.',
      );
      windows.assumeComplete();
    }
    await this.#closeDueWindow(lease);
    await this.#saveDueSnapshot();
    for (const closed of windows.unreported) {
      if (!lease.covers(0) || this.#stopping.signal.aborted) return;
      await this.#report(lease, closed);
    }
  }

  /** Closes the oldest window that is due, if any: one per call. */
  async #closeDueWindow(lease: Lease): Promise<void> {
    const { windows, graceMs = GRACE_MS } = this.#options;
    if (this.#clock.mono() < this.#closeNotBefore) return;
    const latestDue = this.#clock.wall() - graceMs - windows.windowMs;
    const [window] = windows.openWindows.filter((other) => other <= latestDue);
    if (window === undefined) return;
    const payload = { ...windows.computeFigures(window), claim: lease.fencing };
    await this.#append(USAGE_KINDS.close, payload);
  }

  async #saveDueSnapshot(): Promise<void> {
    const { windows, snapshotPeriodMs = SNAPSHOT_PERIOD_MS } = this.#options;
    const last = windows.lastSnapshotAt ?? -Infinity;
    if (this.#clock.wall() - last < snapshotPeriodMs) return;
    await this.#append(USAGE_KINDS.snapshot, windows.createSnapshot());
  }

  async #report(lease: Lease, closed: ClosedWindow): Promise<void> {
    const { window, reportId, figures } = closed;
    if (this.#conflictingWindows.has(window)) return;
    if (!this.#checkedWindows.has(window) && !(await this.#needsReport(lease, closed))) return;
    const { sender, reports, metrics } = this.#options;
    const result = await sender.send((fencing, guard) =>
      reports.report(`${window}`, { reportId, fencing, figures }, guard),
    );
    metrics?.count('usage.report');
    if (result.isOk()) await this.#markReported(lease, window);
    else if (result.error.run === 'may-have-run') this.#checkedWindows.delete(window);
    else
      this.#logger.warn('The platform did not accept a usage report.', {
        window,
        code: result.error.code,
      });
  }

  /**
   * Asks the platform for the window's report. Tells whether the report must be sent; records
   * that the platform has this report already, or a conflicting one.
   */
  async #needsReport(lease: Lease, closed: ClosedWindow): Promise<boolean> {
    const { window, reportId } = closed;
    const found = await this.#options.reports.read(`${window}`);
    if (found.isErr()) return false;
    this.#checkedWindows.add(window);
    if (found.value === undefined) return true;
    if (found.value.reportId === reportId) {
      await this.#markReported(lease, window);
      return false;
    }
    this.#conflictingWindows.add(window);
    this.#options.metrics?.count('usage.report_conflict');
    this.#logger.error('The platform has a different report of the usage window.', {
      window,
      reportId,
    });
    return false;
  }

  async #markReported(lease: Lease, window: WindowStart): Promise<void> {
    await this.#append(USAGE_KINDS.reported, { window, claim: lease.fencing });
  }

  async #append(kind: string, payload: unknown): Promise<void> {
    const { log, metrics } = this.#options;
    const id = createId<RecordId>();
    const result = await log.append('usage', [{ id, kind, payload }], {
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    metrics?.count(`usage.append.${kind}`);
    if (result.isErr()) metrics?.countRetry(result.error.code);
    // The next step must see the new record, or the one of another holder that came before it.
    await this.#reader.readToEnd();
  }
}
