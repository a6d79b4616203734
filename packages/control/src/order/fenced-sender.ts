/** Sends orders of a duty's holder, each only if the lease lasts beyond the order's deadline. */
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

import type { DutyElector } from '../duty/elector';

const ORDER_DEADLINE_MS = 1_000;

/** The lease under which orders are sent, and their deadline. */
export interface FencedSenderOptions {
  /** Provides the lease. */
  readonly elector: DutyElector;
  /** How long after its write an order's connection is destroyed, in milliseconds. */
  readonly deadlineMs?: Millis;
  readonly metrics?: Metrics;
}

/**
 * Writes one order. It must call `guard.mayWrite` in the same tick in which it writes to a
 * connection that is already open, and destroy that connection at the deadline. Otherwise an order
 * might reach the platform after the lease has ended.
 */
export type WriteOrder<T> = (
  fencing: FencingNumber,
  guard: GuardOptions,
) => ResultAsync<T, Failure>;

/** Sends orders under the lease of one duty. It closes itself when the duty is released. */
export class FencedSender {
  readonly #elector: DutyElector;

  readonly #deadlineMs: Millis;

  readonly #metrics: Metrics | undefined;

  readonly #inFlight = new Set<Promise<unknown>>();

  #isClosed = false;

  /** @param options - the duty's elector and the orders' deadline */
  constructor(options: FencedSenderOptions) {
    this.#elector = options.elector;
    this.#deadlineMs = options.deadlineMs ?? ORDER_DEADLINE_MS;
    this.#metrics = options.metrics;
    this.#elector.onReleasing(() => this.close());
  }

  /**
   * Sends an order under the current lease.
   *
   * @param write - writes the order with the given fencing number and guard
   * @returns the platform's response, or the failure `lease_short` when nothing was written
   */
  send<T>(write: WriteOrder<T>): ResultAsync<T, Failure> {
    const current = this.#elector.lease;
    if (this.#isClosed || isNone(current)) return this.#rejectWithoutLease();
    const lease = current.value;
    const mayWrite = (): boolean => !this.#isClosed && lease.covers(this.#deadlineMs);
    const order = write(lease.fencing, { deadlineMs: this.#deadlineMs, mayWrite });
    return new ResultAsync(this.#trackInFlight(order));
  }

  /** Rejects further orders and waits until those in flight have ended. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.allSettled([...this.#inFlight]);
  }

  async #trackInFlight<T>(order: ResultAsync<T, Failure>): Promise<Result<T, Failure>> {
    const settled = Promise.resolve(order);
    this.#inFlight.add(settled);
    const result = await settled;
    this.#inFlight.delete(settled);
    if (result.isErr()) this.#metrics?.countRefusal(result.error.code);
    return result;
  }

  #rejectWithoutLease<T>(): ResultAsync<T, Failure> {
    this.#metrics?.countRefusal('lease_short');
    return errAsync(createFailure('lease_short'));
  }
}
