/** The control duty: a role that one process at a time holds through a lease on the log. */
import {
  type Clock,
  type IncarnationId,
  type InstanceId,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type RegionId,
} from '@hibiscushill/base';
import { DutyElector, DutyCooldown, FencedSender } from '@hibiscushill/control';
import type { Log, LogTail } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

import { Peers, createStartRecord } from './peers';

/** The name of the duty whose holder runs submissions, changes weights and reports usage. */
export const CONTROL_DUTY = 'control';

// Short, so that items soon run again after a holder was lost, but long enough to write a renewal
// to a slow log, at a quarter of a second per call, and to read it back.
const LEASE_TTL_MS = 1_300;
const RENEW_INTERVAL_MS = 250;
// The platform and engines respond within tens of milliseconds, and when slow within 250.
const ORDER_DEADLINE_MS = 400;
// More than the clocks of two machines drift apart during a lease.
const MAX_CLOCK_DRIFT_MS = 100;
// Candidates wait a random time of a few such steps, so that most read another's claim before they
// write their own.
const RANK_STEP_MS = 40;
// Added to the cooldown for clocks that differ.
const COOLDOWN_MARGIN_MS = 300;
const START_RECORD_RETRY_MS = 500;

/** This process, the log, and the times of the duty. */
export interface ControlDutyOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  /** Where this process relays calls of other processes to the log, `IP:port`. */
  readonly relayAddress: string;
  /** The region of this machine; undefined if the platform names none. */
  readonly region?: RegionId | undefined;
  /** How long a former holder may not claim the duty again. */
  readonly cooldownMs: Millis;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly log: Log;
  /** The reader of the stream that has the duty's records. */
  readonly tail: LogTail;
}

/** Competes for the control duty, and tracks the other processes. */
export class ControlDuty {
  /** Sends orders under the duty's lease, with its fencing number. */
  readonly sender: FencedSender;

  readonly #options: ControlDutyOptions;

  readonly #peers: Peers;

  readonly #cooldown: DutyCooldown;

  readonly #elector: DutyElector;

  #gainedAt = Infinity as MonoTime;

  #isReleased = false;

  /** @param options - the log and this process */
  constructor(options: ControlDutyOptions) {
    this.#options = options;
    this.#peers = new Peers(options.instance, options.region);
    this.#cooldown = new DutyCooldown(CONTROL_DUTY, options.cooldownMs + COOLDOWN_MARGIN_MS);
    this.#elector = this.#createElector();
    this.sender = new FencedSender({
      elector: this.#elector,
      deadlineMs: ORDER_DEADLINE_MS,
      metrics: options.metrics,
    });
    options.tail.subscribe((record) => {
      this.#cooldown.apply(record);
      if (this.#peers.apply(record)) this.#elector.reconsider();
    });
  }

  /** Whether this process holds the duty's lease now. */
  get isHeld(): boolean {
    return isSome(this.#elector.lease);
  }

  /** When the duty was last gained; infinite before the first time. */
  get gainedAt(): MonoTime {
    return this.#gainedAt;
  }

  /** Whether the current claim of the duty is another process's. */
  get isSuperseded(): boolean {
    const { currentClaim } = this.#elector;
    return currentClaim !== undefined && currentClaim.incarnation !== this.#options.incarnation;
  }

  /** The process that holds the duty by the newest claim; undefined if none is known to. */
  get holder(): InstanceId | undefined {
    const { currentClaim } = this.#elector;
    return currentClaim?.isReleased ? undefined : currentClaim?.holder;
  }

  /** The other instances of which a process has started. */
  get otherInstances(): readonly InstanceId[] {
    return this.#peers.instances;
  }

  /** The addresses at which other processes relay calls to the log, `IP:port`. */
  get relayAddresses(): readonly string[] {
    return this.#peers.relayAddresses;
  }

  /**
   * Starts to compete for the duty.
   *
   * @param onGained - called each time that the duty is gained
   */
  start(onGained: () => void): void {
    this.#elector.onGained(() => {
      this.#gainedAt = this.#options.clock.mono();
      onGained();
    });
    this.#elector.start();
    void this.#writeStartRecord();
  }

  /** Ends orders in flight and releases the duty, so that another process can claim it at once. */
  async release(): Promise<void> {
    this.#isReleased = true;
    await this.#elector.release();
  }

  #createElector(): DutyElector {
    const { clock, metrics, random, log, tail, instance, incarnation } = this.#options;
    return new DutyElector({
      log,
      tail,
      stream: 'usage',
      duty: CONTROL_DUTY,
      holder: instance,
      incarnation,
      clock,
      ttlMs: LEASE_TTL_MS,
      orderDeadlineMs: ORDER_DEADLINE_MS,
      driftMs: MAX_CLOCK_DRIFT_MS,
      renewMs: RENEW_INTERVAL_MS,
      rankStepMs: RANK_STEP_MS,
      isEnded: (other) => this.#peers.isEnded(other),
      notBefore: () => this.#cooldown.notBefore(instance),
      random,
      metrics,
    });
  }

  /** Writes this process's start to the log, which also shows that an earlier process has ended. */
  async #writeStartRecord(): Promise<void> {
    const { clock, log, logger, instance, incarnation, relayAddress, region } = this.#options;
    const start = { instance, incarnation, relay: relayAddress };
    const record = createStartRecord(region === undefined ? start : { ...start, region });
    while (!this.#isReleased) {
      const done = await log.append('usage', [record], { timeoutMs: START_RECORD_RETRY_MS });
      if (done.isOk()) return;
      logger.warn('The start record was not written and will be retried.', {
        code: done.error.code,
      });
      await clock.sleep(START_RECORD_RETRY_MS);
    }
  }
}
