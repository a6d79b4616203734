/**
 * Usage accounting: every process counts requests, and the holder of the control duty reports them.
 */
import type { Clock, InstanceId, Logger, Metrics, TeamId, WallTime } from '@hibiscushill/base';
import type { FencedSender } from '@hibiscushill/control';
import type { Log } from '@hibiscushill/log';

import type { UsageSink } from './control-port';
import { type LocalCounts, type WindowCounts, createClosedRecord } from './window-counts';

// A process that is killed loses what it counted since it last wrote.
const FLUSH_INTERVAL_MS = 150;
const APPEND_TIMEOUT_MS = 1_000;
// How long after its end a window is closed. A request is counted when its target has responded,
// two seconds later at most, and a count that another process relays is on the log half a second
// after that. A report is due ten seconds after the window's end, even if the log is unavailable
// for seven of these seconds.
const CLOSE_DELAY_MS = 2_800;
// Windows that a new holder reports again, since it can't know whether the previous one did.
const REREPORTED_WINDOWS = 4;

/** The log, the counts, and where reports go. */
export interface UsageTrackerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly log: Log;
  readonly windowCounts: WindowCounts;
  readonly localCounts: LocalCounts;
  readonly sink: UsageSink;
  readonly sender: FencedSender;
  readonly holder: InstanceId;
}

/** Writes this process's counts to the log and, at the holder, closes and reports usage windows. */
export class UsageTracker {
  readonly #options: UsageTrackerOptions;

  readonly #reported = new Set<number>();

  readonly #windowsInProgress = new Set<number>();

  readonly #startWindow: number;

  #writing: Promise<void> | undefined;

  #isStopped = false;

  /** @param options - the log, the counts and where reports go */
  constructor(options: UsageTrackerOptions) {
    this.#options = options;
    this.#startWindow = options.windowCounts.windowAt(options.clock.wall());
  }

  /** How many windows are known to be reported or are in progress. */
  get size(): number {
    return this.#reported.size + this.#windowsInProgress.size;
  }

  /** Counts a request that a target began to run. */
  count(team: TeamId, at: WallTime): void {
    this.#options.localCounts.count(this.#options.windowCounts.windowAt(at), team);
    this.#writing ??= this.#writeCounts();
  }

  /** Resolves when all counts are written. */
  async flush(): Promise<void> {
    await this.#writing;
  }

  /** Gives up the counts that are not written. */
  stop(): void {
    this.#isStopped = true;
    if (this.#writing) this.#options.logger.warn('Usage counts were given up at shutdown.');
  }

  /** Forgets which windows were reported; called when the duty is gained. */
  forgetReported(): void {
    this.#reported.clear();
  }

  /** Starts to close or report the windows that are due; called repeatedly at the holder. */
  processDueWindows(): void {
    const { clock, windowCounts } = this.#options;
    const last = windowCounts.windowAt((clock.wall() - CLOSE_DELAY_MS) as WallTime) - 1;
    const first = Math.max(
      windowCounts.firstWindow ?? this.#startWindow,
      last - REREPORTED_WINDOWS,
    );
    [...this.#reported]
      .filter((window) => window < first)
      .forEach((window) => this.#reported.delete(window));
    for (let window = first; window <= last; window += 1) {
      if (!this.#reported.has(window) && !this.#windowsInProgress.has(window)) {
        this.#windowsInProgress.add(window);
        void this.#closeOrReport(window).finally(() => this.#windowsInProgress.delete(window));
      }
    }
  }

  async #closeOrReport(window: number): Promise<void> {
    const { windowCounts, log, sender, sink, holder, metrics, logger } = this.#options;
    const counts = windowCounts.findClosed(window);
    if (!counts) {
      const record = createClosedRecord(window, windowCounts.sum(window));
      await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
      return;
    }
    const result = await sender.send((fencing, guard) =>
      sink.report(window, counts, { holder, fencing }, guard),
    );
    metrics.count(result.isOk() ? 'usage.reported' : 'usage.report_failed');
    if (result.isOk()) this.#reported.add(window);
    logger.info('A usage report was attempted.', {
      window,
      requests: Object.values(counts).reduce((sum, count) => sum + count, 0),
      outcome: result.isOk() ? 'taken' : result.error.code,
    });
  }

  async #writeCounts(): Promise<void> {
    const { clock, log, localCounts, windowCounts, metrics } = this.#options;
    while (!this.#isStopped) {
      await clock.sleep(FLUSH_INTERVAL_MS);
      localCounts.forget((window) => windowCounts.isFixed(window));
      const { windows, records } = localCounts.takeRecords();
      if (records.length === 0) break;
      const done = await log.append('usage', records, { timeoutMs: APPEND_TIMEOUT_MS });
      if (done.isOk()) continue;
      metrics.countRetry(done.error.code);
      localCounts.markUnwritten(windows);
    }
    this.#writing = undefined;
  }
}
