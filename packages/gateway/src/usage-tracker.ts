/** Counts usage at every process, and reports it from the one that has the duty. */
import type { Clock, InstanceId, Logger, Metrics, TeamId, WallTime } from '@hibiscushill/base';
import type { FencedSender } from '@hibiscushill/control';
import type { Log } from '@hibiscushill/log';

import type { UsageSink } from './control-port';
import { type OwnCounts, type WindowCounts, createClosed } from './window-counts';

// A process that is killed loses what it counted since its last record.
const FLUSH_MS = 150;
const APPEND_TIMEOUT_MS = 1_000;
// How long after its end a window is closed. A request is counted once its target has answered, two
// seconds later at most, and a count that took a detour is on the log half a second after that. A
// report is due ten seconds after the end, so that an outage of seven seconds can't hide a window.
const GRACE_MS = 2_800;
// Windows that a new holder reports again, since it can't know whether its predecessor did.
const REPEATED_WINDOWS = 4;

/** What usage needs. */
export interface UsageDutyOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly log: Log;
  readonly counts: WindowCounts;
  readonly own: OwnCounts;
  readonly sink: UsageSink;
  readonly sender: FencedSender;
  readonly holder: InstanceId;
}

/** Writes counts to the log, closes windows and reports them. */
export class UsageDuty {
  readonly #options: UsageDutyOptions;

  readonly #reported = new Set<number>();

  readonly #busy = new Set<number>();

  readonly #startedIn: number;

  #flushing: Promise<void> | undefined;

  /** @param options - the log, the counts and where reports go */
  constructor(options: UsageDutyOptions) {
    this.#options = options;
    this.#startedIn = options.counts.windowAt(options.clock.wall());
  }

  /** Counts a request that began to run. */
  count(team: TeamId, at: WallTime): void {
    this.#options.own.count(this.#options.counts.windowAt(at), team);
    this.#flushing ??= this.#flush();
  }

  /** Writes what was counted, without waiting for more. */
  async settle(): Promise<void> {
    await this.#flushing;
  }

  /** Forgets which windows were reported, when the duty is gained anew. */
  restart(): void {
    this.#reported.clear();
  }

  /** Closes and reports the windows that are due. */
  work(): void {
    const { clock, counts } = this.#options;
    const last = counts.windowAt((clock.wall() - GRACE_MS) as WallTime) - 1;
    const first = Math.max(counts.first ?? this.#startedIn, last - REPEATED_WINDOWS);
    for (let window = first; window <= last; window += 1) {
      if (!this.#reported.has(window) && !this.#busy.has(window)) {
        this.#busy.add(window);
        void this.#settleWindow(window).finally(() => this.#busy.delete(window));
      }
    }
  }

  async #settleWindow(window: number): Promise<void> {
    const { counts, log, sender, sink, holder, metrics, logger } = this.#options;
    const figures = counts.closedOf(window);
    if (!figures) {
      const record = createClosed(window, counts.sum(window));
      await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
      return;
    }
    const result = await sender.send((fencing, guard) =>
      sink.report(window, figures, { holder, fencing }, guard),
    );
    metrics.count(result.isOk() ? 'usage.reported' : 'usage.report_failed');
    if (result.isOk()) this.#reported.add(window);
    logger.info('Reported a usage window.', {
      window,
      requests: Object.values(figures).reduce((sum, count) => sum + count, 0),
      outcome: result.isOk() ? 'taken' : result.error.code,
    });
  }

  async #flush(): Promise<void> {
    const { clock, log, own, metrics } = this.#options;
    for (;;) {
      await clock.sleep(FLUSH_MS);
      const { windows, records } = own.take();
      if (records.length === 0) break;
      const done = await log.append('usage', records, { timeoutMs: APPEND_TIMEOUT_MS });
      if (done.isOk()) continue;
      metrics.countRetry(done.error.code);
      own.restore(windows);
    }
    this.#flushing = undefined;
  }
}
