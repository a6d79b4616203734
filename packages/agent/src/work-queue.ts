/** Runs queued attempts; the target's slots limit how many run concurrently. */
import type { Clock, Failure, Millis, TeamId } from '@hibiscushill/base';
import type { QueueItem, QueuePolicy } from '@hibiscushill/routing';
import { isNone } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import type { Attempt } from './attempt';

/** The order of the queue, the number of slots, and how an attempt is run. */
export interface WorkQueueOptions {
  readonly clock: Clock;
  readonly policy: QueuePolicy<Attempt>;
  readonly slots: number;
  /** Returns a team's weight in fair queueing. */
  readonly weightOf: (team: TeamId) => number;
  /** Runs an attempt to its end. */
  readonly execute: (attempt: Attempt) => Promise<void>;
  /** Called with an attempt that left the queue without running, and the reason. */
  readonly onDropped: (attempt: Attempt, reason: 'queue_full' | 'deadline_unreachable') => void;
}

// Weight of the newest duration in the moving average.
const SMOOTHING_FACTOR = 0.2;

/** The attempts that wait for a slot, and those that run. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;

  readonly #running = new Set<Attempt>();

  #served = 0;

  #averageDurationMs: Millis = 0;

  /** @param options - the order of the queue, the number of slots, and how an attempt is run */
  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** The number of attempts that run. */
  get running(): number {
    return this.#running.size;
  }

  /** The number of attempts that wait. */
  get queued(): number {
    return this.#options.policy.size;
  }

  /** The total of the estimated tokens of the attempts that wait. */
  get queuedTokens(): number {
    return this.#options.policy.tokens;
  }

  /** The number of attempts that have run to their end. */
  get served(): number {
    return this.#served;
  }

  /** The maximum number of attempts that run concurrently. */
  get slots(): number {
    return this.#options.slots;
  }

  /** The estimated time that a new attempt would wait for a slot. */
  get estimatedWaitMs(): Millis {
    const ahead = this.queued + this.running - this.slots + 1;
    return ahead <= 0 ? 0 : (ahead * this.#averageDurationMs) / this.slots;
  }

  /**
   * Adds an attempt to the queue, and starts queued attempts in the free slots.
   *
   * @param attempt - the attempt
   * @returns nothing, or `queue_full`
   */
  push(attempt: Attempt): Result<void, Failure> {
    const pushed = this.#options.policy.push(this.#createItem(attempt));
    if (pushed.isErr()) return err(pushed.error);
    pushed.value.forEach((item) => this.#options.onDropped(item.value, 'queue_full'));
    this.startReady();
    return ok(undefined);
  }

  /**
   * Removes an attempt from the queue.
   *
   * @param attempt - the attempt
   * @returns whether the attempt was in the queue
   */
  remove(attempt: Attempt): boolean {
    return !isNone(this.#options.policy.remove(attempt.id));
  }

  /** Drops attempts that can't meet their deadline, and starts others in the free slots. */
  startReady(): void {
    const { policy, clock } = this.#options;
    policy
      .takeExpired(clock.mono())
      .forEach((item) => this.#options.onDropped(item.value, 'deadline_unreachable'));
    while (this.#running.size < this.slots) {
      const next = policy.pop();
      if (isNone(next)) return;
      void this.#run(next.value);
    }
  }

  async #run(item: QueueItem<Attempt>): Promise<void> {
    const attempt = item.value;
    const startedAt = this.#options.clock.mono();
    this.#running.add(attempt);
    attempt.markRunning();
    await this.#options.execute(attempt);
    this.#running.delete(attempt);
    this.#served += 1;
    this.#recordDuration(this.#options.clock.mono() - startedAt);
    this.startReady();
  }

  #recordDuration(ms: Millis): void {
    this.#averageDurationMs +=
      (ms - this.#averageDurationMs) * (this.#averageDurationMs === 0 ? 1 : SMOOTHING_FACTOR);
  }

  #createItem(attempt: Attempt): QueueItem<Attempt> {
    const team = attempt.run.team as TeamId;
    return {
      id: attempt.id,
      team,
      weight: this.#options.weightOf(team),
      costTokens: attempt.run.costTokens,
      deadline: attempt.deadline,
      value: attempt,
    };
  }
}
