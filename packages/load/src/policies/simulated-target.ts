/** A simulated target with slots, a queue, and a cache of prompt prefixes. */
import type { AttemptId, Millis, MonoTime, TargetId, TeamId, ZoneId } from '@hibiscushill/base';
import type { QueueItem, QueuePolicy, ReportedLoad } from '@hibiscushill/routing';
import { isNone } from 'fp-ts/Option';

import type { EventLoop } from './event-loop';

/** A simulated request at a target. */
export interface SimulatedJob {
  readonly id: string;
  readonly team: string;
  /** The weight of its team in the queue. */
  readonly weight: number;
  readonly costTokens: number;
  /** In simulated time; a job still in the queue then is dropped. */
  readonly deadlineMs: Millis;
  /** The key of the prompt prefix, if the cache may hold it. */
  readonly prefix?: string;
  /** Called once: with true when the job was served, with false when it was refused or dropped. */
  readonly onEnd: (isAnswered: boolean) => void;
}

/** The identity, queue, speed and cache of a simulated target. */
export interface SimulatedTargetOptions {
  readonly id: TargetId;
  readonly zone: ZoneId;
  readonly loop: EventLoop;
  readonly queue: QueuePolicy<SimulatedJob>;
  /** How many jobs run at the same time. */
  readonly slots: number;
  /** The time that a slot needs for one token, in milliseconds. */
  readonly msPerToken: Millis;
  /** The size of the cache, in prefixes; 0 by default. */
  readonly maxCachedPrefixes?: number;
  /** The fraction of a job's time that a cached prefix saves, from 0 to 1; 0 by default. */
  readonly cacheSavedFraction?: number;
}

/** Runs jobs from its queue, one per slot, and reports its load. */
export class SimulatedTarget {
  readonly options: SimulatedTargetOptions;

  /** The number of started jobs whose prefix was cached. */
  cacheHits = 0;

  #runningCount = 0;

  readonly #cachedPrefixes = new Set<string>();

  /** @param options - the identity, queue, speed and cache */
  constructor(options: SimulatedTargetOptions) {
    this.options = options;
  }

  /** The current load, in the form that an entry receives. */
  get load(): ReportedLoad {
    const { queue, slots, loop } = this.options;
    const receivedAt = loop.nowMs as MonoTime;
    const queuedTokens = queue.tokens;
    return {
      running: this.#runningCount,
      queued: queue.size,
      queuedTokens,
      slots,
      receivedAt,
    };
  }

  /**
   * Queues a job and starts it when a slot is free. Calls `onEnd(false)` for the jobs that the
   * full queue drops, or for this job when the queue refuses it.
   *
   * @param job - the job
   */
  submit(job: SimulatedJob): void {
    const pushed = this.options.queue.push(createQueueItem(job));
    pushed.unwrapOr([createQueueItem(job)]).forEach(({ value }) => value.onEnd(false));
    this.#startQueuedJobs();
  }

  /** Drops expired jobs and starts queued ones while slots are free. */
  #startQueuedJobs(): void {
    const { queue, slots, loop } = this.options;
    queue.takeExpired(loop.nowMs as MonoTime).forEach(({ value }) => value.onEnd(false));
    while (this.#runningCount < slots) {
      const next = queue.pop();
      if (isNone(next)) return;
      this.#start(next.value.value);
    }
  }

  #start(job: SimulatedJob): void {
    const { loop, msPerToken } = this.options;
    this.#runningCount += 1;
    loop.schedule(loop.nowMs + job.costTokens * this.#applyCache(job) * msPerToken, () => {
      this.#runningCount -= 1;
      job.onEnd(true);
      this.#startQueuedJobs();
    });
  }

  /** Makes the prefix the newest cached one, and returns the factor on the job's time. */
  #applyCache({ prefix }: SimulatedJob): number {
    if (prefix === undefined) return 1;
    const isHit = this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.add(prefix);
    const [oldest] = this.#cachedPrefixes;
    if (this.#cachedPrefixes.size > (this.options.maxCachedPrefixes ?? 0))
      this.#cachedPrefixes.delete(oldest as string);
    this.cacheHits += isHit ? 1 : 0;
    return isHit ? 1 - (this.options.cacheSavedFraction ?? 0) : 1;
  }
}

function createQueueItem(job: SimulatedJob): QueueItem<SimulatedJob> {
  return {
    id: job.id as AttemptId,
    team: job.team as TeamId,
    weight: job.weight,
    costTokens: job.costTokens,
    deadline: job.deadlineMs as MonoTime,
    value: job,
  };
}
