/** Runs queued attempts, as many at once as the target has slots. */
import type { Clock, Failure, Millis, TeamId } from '@hibiscushill/base';
import type { QueueItem, QueuePolicy } from '@hibiscushill/routing';
import { isNone } from 'fp-ts/Option';
import { type Result, err, ok } from 'neverthrow';

import type { Attempt } from './attempt';

/** What the work queue needs. */
export interface WorkQueueOptions {
  readonly clock: Clock;
  readonly policy: QueuePolicy<Attempt>;
  readonly slots: number;
  readonly weightOf: (team: TeamId) => number;
  /** Runs an attempt to its end. */
  readonly execute: (attempt: Attempt) => Promise<void>;
  /** Told of an attempt that left the queue without running, and why. */
  readonly onDropped: (attempt: Attempt, reason: 'queue_full' | 'deadline_unreachable') => void;
}

const SMOOTHING = 0.2;

/** Attempts that wait and attempts that run. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;

  readonly #running = new Set<Attempt>();

  #served = 0;

  #meanRunMs: Millis = 0;

  /** @param options - the order, the slots, and how an attempt is run */
  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** How many attempts run. */
  get running(): number {
    return this.#running.size;
  }

  /** How many attempts wait. */
  get queued(): number {
    return this.#options.policy.size;
  }

  /** The estimated tokens of the attempts that wait. */
  get queuedTokens(): number {
    return this.#options.policy.tokens;
  }

  /** How many attempts have run. */
  get served(): number {
    return this.#served;
  }

  /** How many attempts run at once. */
  get slots(): number {
    return this.#options.slots;
  }

  /** How long a new attempt would wait for a slot, in milliseconds. */
  get estimatedWaitMs(): Millis {
    const ahead = this.queued + this.running - this.slots + 1;
    return ahead <= 0 ? 0 : (ahead * this.#meanRunMs) / this.slots;
  }

  /**
   * Adds an attempt, and runs it as soon as its turn comes.
   *
   * @param attempt - the attempt
   * @returns nothing, or `queue_full`
   */
  push(attempt: Attempt): Result<void, Failure> {
    const pushed = this.#options.policy.push(this.#createItem(attempt));
    if (pushed.isErr()) return err(pushed.error);
    pushed.value.forEach((item) => this.#options.onDropped(item.value, 'queue_full'));
    this.pump();
    return ok(undefined);
  }

  /**
   * Takes an attempt out of the queue.
   *
   * @param attempt - the attempt
   * @returns whether it was waiting
   */
  remove(attempt: Attempt): boolean {
    return !isNone(this.#options.policy.remove(attempt.id));
  }

  /** Drops what can't make its deadline, and fills the free slots. */
  pump(): void {
    const { policy, clock } = this.#options;
    policy
      .takeExpired(clock.mono())
      .forEach((item) => this.#options.onDropped(item.value, 'deadline_unreachable'));
    while (this.#running.size < this.slots) {
      const next = policy.pop();
      if (isNone(next)) return;
      void this.#start(next.value);
    }
  }

  async #start(item: QueueItem<Attempt>): Promise<void> {
    const attempt = item.value;
    const startedAt = this.#options.clock.mono();
    this.#running.add(attempt);
    attempt.start();
    await this.#options.execute(attempt);
    this.#running.delete(attempt);
    this.#served += 1;
    this.#noteRun(this.#options.clock.mono() - startedAt);
    this.pump();
  }

  #noteRun(ms: Millis): void {
    this.#meanRunMs += (ms - this.#meanRunMs) * (this.#meanRunMs === 0 ? 1 : SMOOTHING);
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
