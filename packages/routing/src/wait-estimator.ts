/** Estimates the wait for a slot from what targets report. */
import type { Millis, MonoTime, TargetId } from '@hibiscushill/base';

import { type TargetView, isAvailable } from './target-view';

/** The part of a target's load report that the wait depends on. */
export interface QueueReport {
  /** Requests that wait for a slot. */
  readonly queued: number;
  /** Requests that the target has finished since its agent started. */
  readonly served: number;
  /** When this entry received the report. */
  readonly receivedAt: MonoTime;
}

interface Throughput {
  lastReport: QueueReport;
  /** A moving average; zero until it is known. */
  requestsPerMs: number;
}

/** The weight of the newest sample in the moving average of the throughput. */
const SMOOTHING_FACTOR = 0.3;

/** Estimates waits as queue length divided by the throughput while the target had a queue. */
export class WaitEstimator {
  readonly #throughputs = new Map<TargetId, Throughput>();

  /**
   * Updates a target's throughput from a report. A lower `served` than before means that the agent
   * restarted, and discards the throughput.
   *
   * @param target - the target
   * @param report - its queue length and the number of requests that it has served
   */
  recordReport(target: TargetId, report: QueueReport): void {
    const throughput = this.#throughputs.get(target);
    if (!throughput || report.served < throughput.lastReport.served) {
      this.#throughputs.set(target, { lastReport: report, requestsPerMs: 0 });
      return;
    }
    const elapsedMs = report.receivedAt - throughput.lastReport.receivedAt;
    if (elapsedMs <= 0) return;
    const sample = (report.served - throughput.lastReport.served) / elapsedMs;
    // Without a queue the arrival rate bounds the sample, which says nothing about the capacity.
    if (throughput.lastReport.queued > 0 && sample > 0) {
      throughput.requestsPerMs =
        throughput.requestsPerMs === 0
          ? sample
          : throughput.requestsPerMs + (sample - throughput.requestsPerMs) * SMOOTHING_FACTOR;
    }
    throughput.lastReport = report;
  }

  /**
   * Discards what is known about a target.
   *
   * @param target - the target
   */
  forget(target: TargetId): void {
    this.#throughputs.delete(target);
  }

  /**
   * Estimates the shortest wait among the available targets.
   *
   * @param targets - the service's targets
   * @returns milliseconds; zero when a slot is free or a target's throughput is not known
   */
  estimate(targets: readonly TargetView[]): Millis {
    const waits = targets.filter(isAvailable).map((target) => this.#estimateOne(target));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  #estimateOne({ id, reported, sentSinceReport }: TargetView): Millis {
    const requestsPerMs = this.#throughputs.get(id)?.requestsPerMs ?? 0;
    const freeSlots = Math.max(0, reported.slots - reported.running);
    const requestsAhead = reported.queued + sentSinceReport - freeSlots;
    return requestsPerMs === 0 || requestsAhead <= 0 ? 0 : requestsAhead / requestsPerMs;
  }
}
