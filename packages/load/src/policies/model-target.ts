/** A simulated target: slots, a queue, and a cache of prompt prefixes. */
import type { AttemptId, Millis, MonoTime, TargetId, TeamId, ZoneId } from '@hibiscushill/base';
import type { QueueItem, QueuePolicy, ReportedLoad } from '@hibiscushill/routing';
import { isNone } from 'fp-ts/Option';

import type { EventLoop } from './event-loop';

/** A simulated request at a target. */
export interface ModelJob {
  readonly id: string;
  readonly team: string;
  readonly weight: number;
  readonly costTokens: number;
  readonly deadlineMs: Millis;
  readonly prefix?: string;
  /** Called once, with false when the target refused or dropped the request. */
  readonly onEnd: (answered: boolean) => void;
}

/** How a simulated target works. */
export interface ModelTargetOptions {
  readonly id: TargetId;
  readonly zone: ZoneId;
  readonly loop: EventLoop;
  readonly queue: QueuePolicy<ModelJob>;
  readonly slots: number;
  /** The time that one slot takes for one token, in milliseconds. */
  readonly msPerToken: Millis;
  /** How many prefixes are cached. */
  readonly cachedPrefixes?: number;
  /** The part of the cost that a cached prefix saves. */
  readonly cacheSaving?: number;
}

/** Serves jobs from its queue, one for each slot. */
export class ModelTarget {
  readonly options: ModelTargetOptions;

  /** Jobs whose prefix was cached. */
  hits = 0;

  #running = 0;

  readonly #cache = new Set<string>();

  /** @param options - how the target works */
  constructor(options: ModelTargetOptions) {
    this.options = options;
  }

  /** Its load right now. */
  get load(): ReportedLoad {
    const { queue, slots, loop } = this.options;
    const atMono = loop.now as MonoTime;
    const queuedTokens = queue.tokens;
    return { running: this.#running, queued: queue.size, queuedTokens, slots, atMono };
  }

  /**
   * Takes a job.
   *
   * @param job - the job
   */
  take(job: ModelJob): void {
    const pushed = this.options.queue.push(toItem(job));
    pushed.unwrapOr([toItem(job)]).forEach(({ value }) => value.onEnd(false));
    this.#serve();
  }

  #serve(): void {
    const { queue, slots, loop } = this.options;
    queue.takeExpired(loop.now as MonoTime).forEach(({ value }) => value.onEnd(false));
    while (this.#running < slots) {
      const next = queue.pop();
      if (isNone(next)) return;
      this.#start(next.value.value);
    }
  }

  #start(job: ModelJob): void {
    const { loop, msPerToken } = this.options;
    this.#running += 1;
    loop.at(loop.now + job.costTokens * this.#costFactor(job) * msPerToken, () => {
      this.#running -= 1;
      job.onEnd(true);
      this.#serve();
    });
  }

  #costFactor({ prefix }: ModelJob): number {
    if (prefix === undefined) return 1;
    const isHit = this.#cache.delete(prefix);
    this.#cache.add(prefix);
    const [oldest] = this.#cache;
    if (this.#cache.size > (this.options.cachedPrefixes ?? 0)) this.#cache.delete(oldest as string);
    this.hits += isHit ? 1 : 0;
    return isHit ? 1 - (this.options.cacheSaving ?? 0) : 1;
  }
}

function toItem(job: ModelJob): QueueItem<ModelJob> {
  return {
    id: job.id as AttemptId,
    team: job.team as TeamId,
    weight: job.weight,
    costTokens: job.costTokens,
    deadline: job.deadlineMs as MonoTime,
    value: job,
  };
}
