/** Closes usage windows and reports their figures, for as long as this process has the duty. */
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

import type { DutyKeeper } from '../duty/elector';
import type { Lease } from '../duty/lease';
import { FoldReader } from '../duty/projection-reader';
import type { FencedSender } from '../order/fenced-sender';
import { type ClosedWindow, USAGE_KINDS, type WindowStart } from './records';
import type { UsageWindows } from './windows';

const GRACE_MS = 15_000;
const TICK_MS = 1_000;
const SNAPSHOT_MS = 600_000;
const STALE_READ_MS = 5_000;
const APPEND_TIMEOUT_MS = 2_000;

/** What reports usage, and when. */
export interface UsageReporterOptions {
  readonly log: Log;
  /** The tail of the stream `usage`. */
  readonly tail: LogTail;
  readonly clock: Clock;
  readonly keeper: DutyKeeper;
  readonly sender: FencedSender;
  /** The windows; the reporter subscribes them to the tail. */
  readonly windows: UsageWindows;
  readonly reports: Pick<UsageReports, 'read' | 'report'>;
  /** How long after its end a window is closed, in milliseconds. */
  readonly graceMs?: Millis;
  /** How often the windows are saved, in milliseconds; well below the log's retention. */
  readonly snapshotMs?: Millis;
  readonly metrics?: Metrics;
}

/** The task of the usage duty's holder. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;

  readonly #clock: Clock;

  readonly #logger = createLogger('control.usage');

  readonly #stopping = new AbortController();

  // Windows whose report may have reached the platform, or not; it is asked first.
  readonly #asked = new Set<WindowStart>();

  readonly #conflicts = new Set<WindowStart>();

  readonly #reader: FoldReader;

  #blindUntil: MonoTime;

  #task: Promise<void> | undefined;

  /** @param options - the duty, the log and the platform's interface */
  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#blindUntil = options.clock.mono();
    this.#reader = new FoldReader(options.log, 'usage', options.windows);
    options.tail.subscribe((record) => this.#reader.take(record));
    options.keeper.onGained(() => this.#asked.clear());
  }

  /** Starts the task. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops the task. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#noticeOutage();
      const { lease } = this.#options.keeper;
      if (isSome(lease)) await this.#work(lease.value);
      await this.#clock.sleep(TICK_MS, this.#stopping.signal);
    }
  }

  // After an outage the processes log what they kept: a window waits for it as after its end.
  #noticeOutage(): void {
    const now = this.#clock.mono();
    const { caughtUpAt } = this.#options.tail;
    if (caughtUpAt === undefined || now - caughtUpAt > STALE_READ_MS) {
      this.#blindUntil = (now + (this.#options.graceMs ?? GRACE_MS)) as MonoTime;
    }
  }

  async #work(lease: Lease): Promise<void> {
    const { windows } = this.#options;
    if ((windows.next ?? 0) <= lease.fencing) return;
    if (!windows.isSettled) {
      this.#logger.warn('No snapshot was found; older usage is not counted.');
      windows.adopt();
    }
    await this.#closeDue(lease);
    await this.#saveDue();
    for (const closed of windows.unreported) {
      if (!lease.covers(0) || this.#stopping.signal.aborted) return;
      await this.#report(lease, closed);
    }
  }

  async #closeDue(lease: Lease): Promise<void> {
    const { windows, graceMs = GRACE_MS } = this.#options;
    if (this.#clock.mono() < this.#blindUntil) return;
    const due = this.#clock.wall() - graceMs - windows.windowMs;
    const [window] = windows.open.filter((other) => other <= due);
    if (window === undefined) return;
    const payload = { ...windows.close(window), claim: lease.fencing };
    await this.#append(USAGE_KINDS.close, payload);
  }

  async #saveDue(): Promise<void> {
    const { windows, snapshotMs = SNAPSHOT_MS } = this.#options;
    const last = windows.lastSnapshotAt ?? -Infinity;
    if (this.#clock.wall() - last < snapshotMs) return;
    await this.#append(USAGE_KINDS.snapshot, windows.save());
  }

  async #report(lease: Lease, closed: ClosedWindow): Promise<void> {
    const { window, reportId, figures } = closed;
    if (this.#conflicts.has(window)) return;
    if (!this.#asked.has(window) && !(await this.#ask(lease, closed))) return;
    const { sender, reports, metrics } = this.#options;
    const result = await sender.send((fencing, guard) =>
      reports.report(`${window}`, { reportId, fencing, figures }, guard),
    );
    metrics?.count('usage.report');
    if (result.isOk()) await this.#markReported(lease, window);
    else if (result.error.run === 'may-have-run') this.#asked.delete(window);
    else this.#logger.warn('A report was not taken.', { window, code: result.error.code });
  }

  /** Asks what the platform has; tells whether the report has to be sent. */
  async #ask(lease: Lease, closed: ClosedWindow): Promise<boolean> {
    const { window, reportId } = closed;
    const found = await this.#options.reports.read(`${window}`);
    if (found.isErr()) return false;
    this.#asked.add(window);
    if (found.value === undefined) return true;
    if (found.value.reportId === reportId) {
      await this.#markReported(lease, window);
      return false;
    }
    this.#conflicts.add(window);
    this.#options.metrics?.count('usage.report_conflict');
    this.#logger.error('The platform has another report of the window.', { window, reportId });
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
    // What was appended, or was lost to another record, has to be read before the next step.
    await this.#reader.readToEnd();
  }
}
