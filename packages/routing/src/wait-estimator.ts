/** The wait for a slot, from what targets report. */
import type { Millis, MonoTime, TargetId } from '@hibiscushill/base';

import { type TargetView, isAvailable } from './target-view';

/** A target's report, as far as the wait depends on it. */
export interface ServedReport {
  readonly queued: number;
  /** Requests that the target has finished since its agent started. */
  readonly served: number;
  readonly atMono: MonoTime;
}

interface Throughput {
  last: ServedReport;
  perMs: number;
}

const SMOOTHING = 0.3;

/** Estimates waits as queue length over the throughput measured while there was a queue. */
export class WaitEstimator {
  readonly #targets = new Map<TargetId, Throughput>();

  /**
   * Takes a target's report.
   *
   * @param target - the target
   * @param report - its queue and the requests it has served
   */
  takeReport(target: TargetId, report: ServedReport): void {
    const known = this.#targets.get(target);
    if (!known || report.served < known.last.served) {
      this.#targets.set(target, { last: report, perMs: 0 });
      return;
    }
    const elapsedMs = report.atMono - known.last.atMono;
    if (elapsedMs <= 0) return;
    const perMs = (report.served - known.last.served) / elapsedMs;
    // A target without a queue is as fast as its callers, which tells nothing about its limit.
    if (known.last.queued > 0 && perMs > 0) {
      known.perMs = known.perMs === 0 ? perMs : known.perMs + (perMs - known.perMs) * SMOOTHING;
    }
    known.last = report;
  }

  /**
   * Forgets a target.
   *
   * @param target - the target
   */
  forget(target: TargetId): void {
    this.#targets.delete(target);
  }

  /**
   * Estimates the wait at the available target where it is shortest.
   *
   * @param targets - the service's targets
   * @returns milliseconds; zero when a slot is free or nothing is known
   */
  estimate(targets: readonly TargetView[]): Millis {
    const waits = targets.filter(isAvailable).map((target) => this.#estimateOne(target));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  #estimateOne({ id, reported, sentSinceReport }: TargetView): Millis {
    const perMs = this.#targets.get(id)?.perMs ?? 0;
    const free = Math.max(0, reported.slots - reported.running);
    const ahead = reported.queued + sentSinceReport - free;
    return perMs === 0 || ahead <= 0 ? 0 : ahead / perMs;
  }
}
