/** Sends a duty's orders, each only while the lease covers the whole of its deadline. */
import {
  type Failure,
  type FencingNumber,
  type Metrics,
  type Millis,
  createFailure,
} from '@hibiscushill/base';
import type { GuardOptions } from '@hibiscushill/log';
import { isNone } from 'fp-ts/Option';
import { type Result, ResultAsync, errAsync } from 'neverthrow';

import type { DutyKeeper } from '../duty/elector';

const DEADLINE_MS = 1_000;

/** How orders are sent. */
export interface FencedSenderOptions {
  readonly keeper: DutyKeeper;
  /** When an order's connection is destroyed, in milliseconds from its write. */
  readonly deadlineMs?: Millis;
  readonly metrics?: Metrics;
}

/**
 * Writes one order. It has to ask `guard.mayWrite` in the tick in which it writes to a connection
 * that is already open, and to destroy that connection at the deadline.
 */
export type WriteOrder<T> = (
  fencing: FencingNumber,
  guard: GuardOptions,
) => ResultAsync<T, Failure>;

/** Sends orders under the lease of one duty. */
export class FencedSender {
  readonly #keeper: DutyKeeper;

  readonly #deadlineMs: Millis;

  readonly #metrics: Metrics | undefined;

  readonly #inFlight = new Set<Promise<unknown>>();

  #isClosed = false;

  /** @param options - the duty's keeper and the orders' deadline */
  constructor(options: FencedSenderOptions) {
    this.#keeper = options.keeper;
    this.#deadlineMs = options.deadlineMs ?? DEADLINE_MS;
    this.#metrics = options.metrics;
    this.#keeper.onReleasing(() => this.close());
  }

  /**
   * Sends an order under the present lease.
   *
   * @param write - writes the order under a fencing number and a guard
   * @returns what the platform answered; `lease_short` when nothing was written
   */
  send<T>(write: WriteOrder<T>): ResultAsync<T, Failure> {
    const held = this.#keeper.lease;
    if (this.#isClosed || isNone(held)) return this.#refuse();
    const lease = held.value;
    const mayWrite = (): boolean => !this.#isClosed && lease.covers(this.#deadlineMs);
    const order = write(lease.fencing, { deadlineMs: this.#deadlineMs, mayWrite });
    return new ResultAsync(this.#follow(order));
  }

  /** Refuses further orders and waits until those in flight have ended. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.allSettled([...this.#inFlight]);
  }

  async #follow<T>(order: ResultAsync<T, Failure>): Promise<Result<T, Failure>> {
    const settled = Promise.resolve(order);
    this.#inFlight.add(settled);
    const result = await settled;
    this.#inFlight.delete(settled);
    if (result.isErr()) this.#metrics?.countRefusal(result.error.code);
    return result;
  }

  #refuse<T>(): ResultAsync<T, Failure> {
    this.#metrics?.countRefusal('lease_short');
    return errAsync(createFailure('lease_short'));
  }
}
