/** The one duty of the system, and who may take it. */
import {
  type Clock,
  type IncarnationId,
  type InstanceId,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
} from '@hibiscushill/base';
import { DutyKeeper, DutyTurns, FencedSender } from '@hibiscushill/control';
import type { Log, LogTail } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

import { Peers, createStarted } from './peers';

/** The duty whose holder runs submissions, changes weights and reports usage. */
export const CONTROL_DUTY = 'control';

// Short, so that items wait little for a successor; long enough for a renewal to be written to a
// slow log, a quarter of a second a call, and read back.
const LEASE_MS = 1_300;
const RENEW_MS = 250;
// The platform and engines answer within tens of milliseconds, when slow within 250.
const ORDER_DEADLINE_MS = 400;
// Two clocks drift apart by far less over a lease.
const DRIFT_MS = 100;
// Spreads challengers over some reads of the log.
const RANK_STEP_MS = 40;
// Beyond the bound on a duty's return, for clocks that differ.
const TURN_MARGIN_MS = 300;
const ANNOUNCE_RETRY_MS = 500;

/** What the duty needs. */
export interface ControlDutyOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  /** Where this process passes calls of others on to the log, `IP:port`. */
  readonly relay: string;
  /** The duty may not come back to a process within this time of another's turn. */
  readonly turnMs: Millis;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly log: Log;
  /** The tail of the stream of duties. */
  readonly tail: LogTail;
}

/** Competes for the duty, and knows the other processes. */
export class ControlDuty {
  /** Sends orders while the duty's lease covers them. */
  readonly sender: FencedSender;

  readonly #options: ControlDutyOptions;

  readonly #peers: Peers;

  readonly #turns: DutyTurns;

  readonly #keeper: DutyKeeper;

  #gainedAt = Infinity as MonoTime;

  #isReleased = false;

  /** @param options - the log and this process */
  constructor(options: ControlDutyOptions) {
    this.#options = options;
    this.#peers = new Peers(options.instance);
    this.#turns = new DutyTurns(CONTROL_DUTY, options.turnMs + TURN_MARGIN_MS);
    this.#keeper = this.#createKeeper();
    this.sender = new FencedSender({
      keeper: this.#keeper,
      deadlineMs: ORDER_DEADLINE_MS,
      metrics: options.metrics,
    });
    options.tail.subscribe((record) => {
      this.#turns.apply(record);
      if (this.#peers.apply(record)) this.#keeper.reconsider();
    });
  }

  /** Whether the lease holds now. */
  get isHeld(): boolean {
    return isSome(this.#keeper.lease);
  }

  /** When the duty was gained last; infinite before. */
  get gainedAt(): MonoTime {
    return this.#gainedAt;
  }

  /** Whether another process has claimed the duty. */
  get isSuperseded(): boolean {
    const { present } = this.#keeper;
    return present !== undefined && present.incarnation !== this.#options.incarnation;
  }

  /** Where other processes pass calls on to the log. */
  get relays(): readonly string[] {
    return this.#peers.relays;
  }

  /**
   * Starts to compete.
   *
   * @param onGained - called each time that the duty is gained
   */
  start(onGained: () => void): void {
    this.#keeper.onGained(() => {
      this.#gainedAt = this.#options.clock.mono();
      onGained();
    });
    this.#keeper.start();
    void this.#announce();
  }

  /** Ends orders in flight and gives the duty up, so that another process takes it at once. */
  async release(): Promise<void> {
    this.#isReleased = true;
    await this.#keeper.release();
  }

  #createKeeper(): DutyKeeper {
    const { clock, metrics, random, log, tail, instance, incarnation } = this.#options;
    return new DutyKeeper({
      log,
      tail,
      stream: 'usage',
      duty: CONTROL_DUTY,
      holder: instance,
      incarnation,
      clock,
      ttlMs: LEASE_MS,
      orderDeadlineMs: ORDER_DEADLINE_MS,
      driftMs: DRIFT_MS,
      renewMs: RENEW_MS,
      rankStepMs: RANK_STEP_MS,
      isEnded: (other) => this.#peers.isEnded(other),
      notBefore: () => this.#turns.notBefore(instance),
      random,
      metrics,
    });
  }

  /** Tells the others where this process is, and that its predecessor has ended. */
  async #announce(): Promise<void> {
    const { clock, log, logger, instance, incarnation, relay } = this.#options;
    const record = createStarted({ instance, incarnation, relay });
    while (!this.#isReleased) {
      const done = await log.append('usage', [record], { timeoutMs: ANNOUNCE_RETRY_MS });
      if (done.isOk()) return;
      logger.warn('The start was not announced yet.', { code: done.error.code });
      await clock.sleep(ANNOUNCE_RETRY_MS);
    }
  }
}
