/** Leader election over the log: claims a duty, renews its lease and releases it. */
import {
  type Clock,
  type Failure,
  type IncarnationId,
  type InstanceId,
  type Millis,
  type MonoTime,
  type Offset,
  type RandomSource,
  type RecordId,
  createId,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import type { LogRecord, NewRecord } from '@hibiscushill/log';
import * as O from 'fp-ts/Option';
import type { Result } from 'neverthrow';

import { ClaimTracker, type CurrentClaim } from './claim-tracker';
import {
  type DutyElectorOptions,
  type DutyTimings,
  pickClaimDelay,
  resolveTimings,
} from './elector-options';
import { Lease } from './lease';
import { ProjectionReader } from './projection-reader';
import { DUTY_KINDS, type DutyName, NO_CLAIM } from './records';

const RETRY_MS = 500;
const START_RECORDS = 2_000;
const RETRIES_PER_RENEWAL = 3;

type Unsubscribe = () => void;

/**
 * Takes part in the election for one duty on behalf of one process. At any time, at most one
 * process has a lease that covers an order's deadline.
 */
export class DutyElector {
  readonly duty: DutyName;

  readonly #options: DutyElectorOptions;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #claims: ClaimTracker;

  readonly #reader: ProjectionReader;

  readonly #logger;

  readonly #timings: DutyTimings;

  readonly #stopping = new AbortController();

  // When each of this process's records was sent, until the record is read back.
  readonly #sentAt = new Map<RecordId, MonoTime>();

  readonly #gainedListeners = new Set<(lease: Lease) => void>();

  readonly #lostListeners = new Set<(lease: Lease) => void>();

  readonly #releasingListeners = new Set<() => Promise<void>>();

  #lease: Lease | undefined;

  // When the last valid record of the duty was read; without one, when the stream's end was reached
  // first or the records were found to have a gap.
  #lastValidReadAt: MonoTime | undefined;

  // The start of the claims at the last check; it changes when they restart after a gap.
  #claimsFirst: Offset | undefined;

  // Whether this process got a lease from the current claim, which it may have lost since.
  #hadLeaseForClaim = false;

  #claimsChanged = new AbortController();

  #task: Promise<void> | undefined;

  #unsubscribe: Unsubscribe | undefined;

  /** @param options - the duty, its stream, this process's identity and the timing */
  constructor(options: DutyElectorOptions) {
    this.#options = options;
    this.duty = options.duty;
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
    this.#claims = new ClaimTracker(options.duty);
    this.#reader = new ProjectionReader(options.log, options.stream, this.#claims, (record) =>
      this.#applyRecord(record),
    );
    this.#logger = createLogger(`control.duty.${options.duty}`);
    this.#timings = resolveTimings(options);
  }

  /** This process's lease, or none when it has none that holds now. */
  get lease(): O.Option<Lease> {
    return this.#lease?.covers(0) ? O.some(this.#lease) : O.none;
  }

  /** The duty's current claim, of whatever process, or undefined while it isn't known. */
  get currentClaim(): CurrentClaim | undefined {
    return this.#claims.current;
  }

  /** Calls a function with each lease that this process gains. */
  onGained(handle: (lease: Lease) => void): Unsubscribe {
    this.#gainedListeners.add(handle);
    return () => this.#gainedListeners.delete(handle);
  }

  /** Calls a function with each lease that this process loses or releases. */
  onLost(handle: (lease: Lease) => void): Unsubscribe {
    this.#lostListeners.add(handle);
    return () => this.#lostListeners.delete(handle);
  }

  /**
   * Calls a function before the duty is released, and waits for it.
   *
   * @param settle - stops sending orders; resolves when none is in flight any more
   */
  onReleasing(settle: () => Promise<void>): Unsubscribe {
    this.#releasingListeners.add(settle);
    return () => this.#releasingListeners.delete(settle);
  }

  /** Checks again whether the duty may be claimed. To be called when `isEnded` may have changed. */
  reconsider(): void {
    if (!this.#lease) this.#claimsChanged.abort();
  }

  /** Starts to read claims and to compete for the duty. */
  start(): void {
    this.#unsubscribe ??= this.#options.tail.subscribe((record) =>
      this.#reader.takeFromTail(record),
    );
    this.#task ??= this.#run();
  }

  /**
   * Waits for the orders in flight, releases the duty so that another process may claim it at
   * once, and stops.
   */
  async release(): Promise<void> {
    this.#stopping.abort();
    this.#claimsChanged.abort();
    await this.#task;
    await Promise.all([...this.#releasingListeners].map((settle) => settle()));
    const lease = this.#lease;
    this.#loseLease('released');
    if (lease && this.#claims.isCurrent(lease.fencing)) {
      const body = { ...this.#getBody(), claim: lease.fencing };
      await this.#append(DUTY_KINDS.release, body, this.#timings.ttlMs);
    }
    this.#unsubscribe?.();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    await this.#readInitialClaims();
    while (!signal.aborted) {
      if (this.#lease) await this.#renewLease(this.#lease);
      else await this.#waitAndClaim();
    }
  }

  async #readInitialClaims(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const isStarted = await this.#reader.startNearEnd(START_RECORDS);
      if (isStarted && (await this.#readToEnd())) return;
      await this.#waitForChange(this.#addJitter(RETRY_MS));
    }
  }

  async #renewLease(lease: Lease): Promise<void> {
    const { renewMs } = this.#timings;
    const body = { ...this.#getBody(), claim: lease.fencing };
    const leftMs = lease.endsAt - this.#clock.mono();
    if (leftMs > 0) {
      const isSent = await this.#append(DUTY_KINDS.renew, body, Math.min(leftMs, renewMs));
      if (this.#lease !== lease) return;
      const waitMs = isSent ? renewMs : this.#addJitter(renewMs / RETRIES_PER_RENEWAL);
      await this.#waitForChange(Math.max(0, Math.min(waitMs, lease.endsAt - this.#clock.mono())));
    }
    if (this.#lease === lease && !lease.covers(0)) this.#loseLease('lapsed');
  }

  async #waitAndClaim(): Promise<void> {
    const waitMs = this.#findEarliestClaim() - this.#clock.mono();
    if (waitMs > 0) {
      await this.#waitForChange(waitMs);
      return;
    }
    await this.#waitForChange(pickClaimDelay(this.#options, this.#random));
    if (this.#stopping.signal.aborted || this.#lease) return;
    // The decision to claim must rest on a read that was sent after the wait.
    const isRead = await this.#readToEnd();
    if (!isRead) await this.#waitForChange(this.#addJitter(RETRY_MS));
    else if (this.#findEarliestClaim() <= this.#clock.mono()) await this.#appendClaim();
  }

  async #appendClaim(): Promise<void> {
    if (this.#stopping.signal.aborted || this.#lease) return;
    const after = this.#claims.current?.claim ?? NO_CLAIM;
    const body = { ...this.#getBody(), after };
    const isSent = await this.#append(DUTY_KINDS.claim, body, this.#timings.ttlMs / 2);
    const isRead = await this.#readToEnd();
    if (!this.#lease && !(isSent && isRead)) await this.#waitForChange(this.#addJitter(RETRY_MS));
  }

  /** Returns what the payloads of claims, renewals and releases have in common. */
  #getBody(): { duty: DutyName; holder: InstanceId; incarnation: IncarnationId; through: Offset } {
    const { duty, holder, incarnation } = this.#options;
    return { duty, holder, incarnation, through: this.#claims.next ?? (0 as Offset) };
  }

  /** The earliest time at which this process may claim, by the records read so far. */
  #findEarliestClaim(): MonoTime {
    const now = this.#clock.mono();
    const { notBefore } = this.#options;
    const cooldownMs = notBefore ? notBefore() - this.#clock.wall() : 0;
    return Math.max(this.#findEndOfHolder(now), now + cooldownMs) as MonoTime;
  }

  /** The time after which no order of the current holder can arrive any more. */
  #findEndOfHolder(now: MonoTime): MonoTime {
    const { current } = this.#claims;
    if (current?.claim === NO_CLAIM || current?.isReleased) return now;
    const incarnation = current?.incarnation;
    const isOwn = incarnation === this.#options.incarnation;
    if (isOwn && this.#hadLeaseForClaim) return now;
    if (incarnation !== undefined && this.#options.isEnded?.(incarnation)) return now;
    return ((this.#lastValidReadAt ?? now) + this.#timings.takeoverWaitMs) as MonoTime;
  }

  #applyRecord(record: LogRecord): void {
    const effect = this.#claims.apply(record);
    this.#detectGap();
    if (effect === 'unrelated') return;
    const sentAt = this.#sentAt.get(record.id);
    this.#sentAt.delete(record.id);
    if (effect === 'void') {
      if (sentAt !== undefined) this.#options.metrics?.count(`duty.void.${record.kind}`);
      return;
    }
    this.#lastValidReadAt = this.#clock.mono();
    if (effect === 'claimed') this.#handleClaim(sentAt);
    if (effect === 'renewed' && sentAt !== undefined) this.#handleOwnRenewal(sentAt);
    if (effect !== 'renewed') this.#claimsChanged.abort();
  }

  #handleClaim(sentAt: MonoTime | undefined): void {
    this.#hadLeaseForClaim = false;
    if (this.#lease) this.#loseLease('superseded');
    const claim = this.#claims.current?.claim;
    if (sentAt === undefined || claim === undefined) return;
    const lease = new Lease(claim, (sentAt + this.#timings.ttlMs) as MonoTime, this.#clock);
    // A claim that was appended late gives no lease: this process waits like any other candidate.
    if (!lease.covers(0)) return;
    this.#lease = lease;
    this.#hadLeaseForClaim = true;
    this.#options.metrics?.count('duty.gained');
    this.#logger.info('Gained the duty.', { fencing: claim });
    this.#gainedListeners.forEach((handle) => handle(lease));
  }

  // A renewal read after the lease's end doesn't revive it: another candidate may have claimed.
  #handleOwnRenewal(sentAt: MonoTime): void {
    const isHeld = this.#lease?.extend((sentAt + this.#timings.ttlMs) as MonoTime) ?? false;
    if (!isHeld) this.#options.metrics?.count('duty.renewed_late');
  }

  #loseLease(reason: string): void {
    const lease = this.#lease;
    if (!lease) return;
    this.#lease = undefined;
    lease.end();
    this.#options.metrics?.count(`duty.lost.${reason}`);
    this.#logger.info('Lost the duty.', { fencing: lease.fencing, reason });
    this.#lostListeners.forEach((handle) => handle(lease));
  }

  /** Returns whether the log confirmed the record; without a confirmation it may still appear. */
  async #append(kind: string, payload: unknown, timeoutMs: Millis): Promise<boolean> {
    const record: NewRecord = { id: createId<RecordId>(), kind, payload };
    this.#sentAt.set(record.id, this.#clock.mono());
    const { log, stream, metrics } = this.#options;
    const result: Result<Offset, Failure> = await log.append(stream, [record], { timeoutMs });
    metrics?.count(`duty.append.${kind}`);
    if (result.isErr()) {
      metrics?.countRetry(result.error.code);
      if (result.error.run === 'not-run') this.#sentAt.delete(record.id);
    }
    return result.isOk();
  }

  /** Returns false when the log didn't respond. */
  async #readToEnd(): Promise<boolean> {
    const isRead = await this.#reader.readToEnd();
    this.#detectGap();
    if (isRead) this.#lastValidReadAt ??= this.#clock.mono();
    return isRead;
  }

  // A record in the gap may have renewed the lease, so the takeover wait starts again.
  #detectGap(): void {
    if (this.#claims.first === this.#claimsFirst) return;
    this.#claimsFirst = this.#claims.first;
    this.#lastValidReadAt = this.#clock.mono();
  }

  #addJitter(ms: Millis): Millis {
    return ms * (0.5 + this.#random.fraction());
  }

  /** Waits for a duration, or until the current claim changes or is released. */
  async #waitForChange(ms: Millis): Promise<void> {
    if (this.#stopping.signal.aborted) return;
    this.#claimsChanged = new AbortController();
    await this.#clock.sleep(ms, this.#claimsChanged.signal);
  }
}
