/** The exchange, over the log, of what the processes know of limited targets and would send there. */
import {
  type Clock,
  type InstanceId,
  type Metrics,
  type MonoTime,
  type RecordId,
  type TargetId,
  type WallTime,
  createId,
} from '@hibiscushill/base';
import type { Log, LogRecord, LogTail } from '@hibiscushill/log';
import type { DemandByTarget, LimitShares } from '@hibiscushill/routing';
import { z } from 'zod';

import type { TargetDirectory } from './target-directory';
import type { TargetLimiter } from './target-limiter';

const RECORD_KIND = 'limits.demand';
const APPEND_TIMEOUT_MS = 1_000;
// An update waits this long for further ones, so that they share a record.
const UPDATE_DELAY_MS = 100;
// A lower demand, as it remains for a while after the last request, isn't published.
const MIN_DEMAND_PER_S = 0.001;

const DemandSchema = z.object({
  instance: z.string() as unknown as z.ZodType<InstanceId>,
  /** The requests a second that the process would send to each limited target. */
  demand: z.record(z.string(), z.number().min(0)),
  /** What targets have told the process since its last record. */
  updates: z.array(
    z.object({
      target: z.string() as unknown as z.ZodType<TargetId>,
      startedAt: z.number().optional() as unknown as z.ZodType<WallTime | undefined>,
      perSecond: z.number().min(0).optional(),
    }),
  ),
});

/** This process, the log, and what is exchanged. */
export interface LimitExchangeOptions {
  readonly instance: InstanceId;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** The reader of the stream that has the exchanged records. */
  readonly tail: LogTail;
  readonly directory: TargetDirectory;
  readonly limiter: TargetLimiter;
  readonly shares: LimitShares;
  /** Lists the other processes that are known to have started. */
  readonly listProcesses: () => readonly InstanceId[];
}

/** Publishes this process's demand at limited targets, and reads that of all processes. */
export class LimitExchange {
  readonly #options: LimitExchangeOptions;

  #publishedAt = -Infinity as MonoTime;

  #hasPublishedDemand = false;

  #isWriting = false;

  /** @param options - this process, the log, and what is exchanged */
  constructor(options: LimitExchangeOptions) {
    this.#options = options;
    options.tail.subscribe((record) => this.#apply(record));
  }

  /** Publishes what is due; called repeatedly. */
  run(): void {
    const { clock, tail, shares, limiter, directory, listProcesses } = this.#options;
    limiter.logSent();
    limiter.keepOnly((target) => directory.find(target) !== undefined);
    if (tail.caughtUpAt !== undefined) shares.setProcesses(listProcesses());
    const sinceMs = clock.mono() - this.#publishedAt;
    if (this.#isWriting || sinceMs < UPDATE_DELAY_MS) return;
    const isDue = sinceMs >= shares.publishIntervalMs;
    const demand = isDue ? this.#measureDemand() : undefined;
    const mayPublishDemand = demand !== undefined && (demand.size > 0 || this.#hasPublishedDemand);
    if (limiter.hasUpdates || mayPublishDemand) void this.#publish(demand ?? this.#measureDemand());
  }

  async #publish(demand: DemandByTarget): Promise<void> {
    const { instance, clock, metrics, log, limiter } = this.#options;
    const updates = limiter.takeUpdates();
    this.#isWriting = true;
    this.#publishedAt = clock.mono();
    const payload = { instance, demand: Object.fromEntries(demand), updates };
    const record = { id: createId<RecordId>(), kind: RECORD_KIND, payload };
    const done = await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
    this.#isWriting = false;
    if (done.isOk()) {
      this.#hasPublishedDemand = demand.size > 0;
      return;
    }
    metrics.countRetry(done.error.code);
    limiter.returnUpdates(updates);
  }

  /** Divides the demand for each service with limited targets evenly among its targets. */
  #measureDemand(): DemandByTarget {
    const { directory, limiter } = this.#options;
    const demand = new Map<TargetId, number>();
    limiter.limitedTargets.forEach((id) => {
      const target = directory.find(id);
      if (!target) return;
      const targets = directory.listUsable(target.service).length;
      const perTarget = limiter.demandOf(target.service) / Math.max(1, targets);
      if (perTarget >= MIN_DEMAND_PER_S) demand.set(id, perTarget);
    });
    return demand;
  }

  #apply(record: LogRecord): void {
    if (record.kind !== RECORD_KIND) return;
    const parsed = DemandSchema.safeParse(record.payload);
    if (!parsed.success) return;
    const { limiter, shares } = this.#options;
    const { instance, demand, updates } = parsed.data;
    const byTarget = Object.entries(demand) as [TargetId, number][];
    shares.recordDemand(instance, new Map(byTarget));
    if (instance === this.#options.instance) return;
    updates.forEach(({ target, startedAt, perSecond }) =>
      limiter.applyUpdate({ target, startedAt, perSecond }),
    );
  }
}
