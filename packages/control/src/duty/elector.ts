/** Claims a duty on the log, renews the claim and hands the duty over. */
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

import { ClaimHistory, type PresentClaim } from './claim-tracker';
import { Lease } from './lease';
import { type DutyKeeperOptions, type DutyTimes, pickSpread, readTimes } from './elector-options';
import { DUTY_KINDS, type DutyName, NO_CLAIM } from './records';
import { FoldReader } from './projection-reader';

const RETRY_MS = 500;
const HISTORY_RECORDS = 2_000;
const RENEWALS_PER_TTL = 3;

type Unsubscribe = () => void;

/** Keeps one duty for one process: at any time, at most one process's lease covers an order. */
export class DutyKeeper {
  readonly duty: DutyName;

  readonly #options: DutyKeeperOptions;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #history: ClaimHistory;

  readonly #reader: FoldReader;

  readonly #logger;

  readonly #times: DutyTimes;

  readonly #stopping = new AbortController();

  readonly #sent = new Map<RecordId, MonoTime>();

  readonly #gained = new Set<(lease: Lease) => void>();

  readonly #lost = new Set<(lease: Lease) => void>();

  readonly #releasing = new Set<() => Promise<void>>();

  #lease: Lease | undefined;

  // When the last record that counted was read, or the first read reached the stream's end.
  #heardAt: MonoTime | undefined;

  #knownFirst: Offset | undefined;

  // Whether the present claim was this process's with a lease that was in effect.
  #hadLease = false;

  #changed = new AbortController();

  #task: Promise<void> | undefined;

  #unsubscribe: Unsubscribe | undefined;

  /** @param options - the duty, its stream and its times */
  constructor(options: DutyKeeperOptions) {
    this.#options = options;
    this.duty = options.duty;
    this.#clock = options.clock;
    this.#random = options.random ?? createRandomSource();
    this.#history = new ClaimHistory(options.duty);
    this.#reader = new FoldReader(options.log, options.stream, this.#history, (record) =>
      this.#apply(record),
    );
    this.#logger = createLogger(`control.duty.${options.duty}`);
    this.#times = readTimes(options);
  }

  /** The lease, while it holds. */
  get lease(): O.Option<Lease> {
    return this.#lease?.covers(0) ? O.some(this.#lease) : O.none;
  }

  /** The duty's present claim, or undefined while it isn't known. */
  get present(): PresentClaim | undefined {
    return this.#history.present;
  }

  /** Calls a function with each lease that is gained. */
  onGained(handle: (lease: Lease) => void): Unsubscribe {
    this.#gained.add(handle);
    return () => this.#gained.delete(handle);
  }

  /** Calls a function with each lease that is lost, also by a release. */
  onLost(handle: (lease: Lease) => void): Unsubscribe {
    this.#lost.add(handle);
    return () => this.#lost.delete(handle);
  }

  /**
   * Calls a function before the duty is released.
   *
   * @param settle - resolves when no order is in flight any more
   */
  onReleasing(settle: () => Promise<void>): Unsubscribe {
    this.#releasing.add(settle);
    return () => this.#releasing.delete(settle);
  }

  /** Looks again whether the duty may be claimed, since something it depends on has changed. */
  reconsider(): void {
    if (!this.#lease) this.#changed.abort();
  }

  /** Starts to claim the duty. */
  start(): void {
    this.#unsubscribe ??= this.#options.tail.subscribe((record) => this.#reader.take(record));
    this.#task ??= this.#run();
  }

  /**
   * Ends the orders in flight, releases the duty so that another process may claim it at once, and
   * stops.
   */
  async release(): Promise<void> {
    this.#stopping.abort();
    this.#changed.abort();
    await this.#task;
    await Promise.all([...this.#releasing].map((settle) => settle()));
    const lease = this.#lease;
    this.#lose('released');
    if (lease && this.#history.isPresent(lease.fencing)) {
      const body = { ...this.#author(), claim: lease.fencing };
      await this.#append(DUTY_KINDS.release, body, this.#times.ttlMs);
    }
    this.#unsubscribe?.();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    await this.#readHistory();
    while (!signal.aborted) {
      if (this.#lease) await this.#hold(this.#lease);
      else await this.#challenge();
    }
  }

  async #readHistory(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const isStarted = await this.#reader.startNearEnd(HISTORY_RECORDS);
      if (isStarted && (await this.#catchUp())) return;
      await this.#pause(this.#jitter(RETRY_MS));
    }
  }

  async #hold(lease: Lease): Promise<void> {
    const { renewMs } = this.#times;
    const body = { ...this.#author(), claim: lease.fencing };
    const leftMs = lease.endsAt - this.#clock.mono();
    if (leftMs > 0) {
      const isSent = await this.#append(DUTY_KINDS.renew, body, Math.min(leftMs, renewMs));
      if (this.#lease !== lease) return;
      const waitMs = isSent ? renewMs : this.#jitter(renewMs / RENEWALS_PER_TTL);
      await this.#pause(Math.max(0, Math.min(waitMs, lease.endsAt - this.#clock.mono())));
    }
    if (this.#lease === lease && !lease.covers(0)) this.#lose('lapsed');
  }

  async #challenge(): Promise<void> {
    const waitMs = this.#claimableAt() - this.#clock.mono();
    if (waitMs > 0) {
      await this.#pause(waitMs);
      return;
    }
    await this.#pause(pickSpread(this.#options, this.#random));
    if (this.#stopping.signal.aborted || this.#lease) return;
    // What is decided here must rest on a read that was sent after the wait.
    const isRead = await this.#catchUp();
    if (!isRead) await this.#pause(this.#jitter(RETRY_MS));
    else if (this.#claimableAt() <= this.#clock.mono()) await this.#claim();
  }

  async #claim(): Promise<void> {
    if (this.#stopping.signal.aborted || this.#lease) return;
    const after = this.#history.present?.claim ?? NO_CLAIM;
    const body = { ...this.#author(), after };
    const isSent = await this.#append(DUTY_KINDS.claim, body, this.#times.ttlMs / 2);
    const isRead = await this.#catchUp();
    if (!this.#lease && !(isSent && isRead)) await this.#pause(this.#jitter(RETRY_MS));
  }

  #author(): { duty: DutyName; holder: InstanceId; incarnation: IncarnationId; through: Offset } {
    const { duty, holder, incarnation } = this.#options;
    return { duty, holder, incarnation, through: this.#history.next ?? (0 as Offset) };
  }

  /** When this process may claim, by what it has read. */
  #claimableAt(): MonoTime {
    const now = this.#clock.mono();
    const { notBefore } = this.#options;
    const turnMs = notBefore ? notBefore() - this.#clock.wall() : 0;
    return Math.max(this.#vacantAt(now), now + turnMs) as MonoTime;
  }

  #vacantAt(now: MonoTime): MonoTime {
    const { present } = this.#history;
    if (present?.claim === NO_CLAIM || present?.isReleased) return now;
    const incarnation = present?.incarnation;
    const isMine = incarnation === this.#options.incarnation;
    if (isMine && this.#hadLease) return now;
    if (incarnation !== undefined && this.#options.isEnded?.(incarnation)) return now;
    return ((this.#heardAt ?? now) + this.#times.patienceMs) as MonoTime;
  }

  #apply(record: LogRecord): void {
    const verdict = this.#history.apply(record);
    this.#noticeRestart();
    if (verdict === 'unrelated') return;
    const sentAt = this.#sent.get(record.id);
    this.#sent.delete(record.id);
    if (verdict === 'void') {
      if (sentAt !== undefined) this.#options.metrics?.count(`duty.void.${record.kind}`);
      return;
    }
    this.#heardAt = this.#clock.mono();
    if (verdict === 'claimed') this.#takeClaim(sentAt);
    if (verdict === 'renewed' && sentAt !== undefined) this.#takeRenewal(sentAt);
    if (verdict !== 'renewed') this.#changed.abort();
  }

  #takeClaim(sentAt: MonoTime | undefined): void {
    this.#hadLease = false;
    if (this.#lease) this.#lose('superseded');
    const claim = this.#history.present?.claim;
    if (sentAt === undefined || claim === undefined) return;
    const lease = new Lease(claim, (sentAt + this.#times.ttlMs) as MonoTime, this.#clock);
    // A claim that landed late gives no lease: the process waits as any challenger does.
    if (!lease.covers(0)) return;
    this.#lease = lease;
    this.#hadLease = true;
    this.#options.metrics?.count('duty.gained');
    this.#logger.info('Gained the duty.', { fencing: claim });
    this.#gained.forEach((handle) => handle(lease));
  }

  // A renewal read after the lease's end doesn't bring it back: a challenger may have begun.
  #takeRenewal(sentAt: MonoTime): void {
    const isHeld = this.#lease?.extend((sentAt + this.#times.ttlMs) as MonoTime) ?? false;
    if (!isHeld) this.#options.metrics?.count('duty.renewed_late');
  }

  #lose(reason: string): void {
    const lease = this.#lease;
    if (!lease) return;
    this.#lease = undefined;
    lease.end();
    this.#options.metrics?.count(`duty.lost.${reason}`);
    this.#logger.info('Lost the duty.', { fencing: lease.fencing, reason });
    this.#lost.forEach((handle) => handle(lease));
  }

  async #append(kind: string, payload: unknown, timeoutMs: Millis): Promise<boolean> {
    const record: NewRecord = { id: createId<RecordId>(), kind, payload };
    this.#sent.set(record.id, this.#clock.mono());
    const { log, stream, metrics } = this.#options;
    const result: Result<Offset, Failure> = await log.append(stream, [record], { timeoutMs });
    metrics?.count(`duty.append.${kind}`);
    if (result.isErr()) {
      metrics?.countRetry(result.error.code);
      if (result.error.run === 'not-run') this.#sent.delete(record.id);
    }
    return result.isOk();
  }

  async #catchUp(): Promise<boolean> {
    const isRead = await this.#reader.readToEnd();
    this.#noticeRestart();
    if (isRead) this.#heardAt ??= this.#clock.mono();
    return isRead;
  }

  // After a gap in the records the holder may have been heard without this process.
  #noticeRestart(): void {
    if (this.#history.first === this.#knownFirst) return;
    this.#knownFirst = this.#history.first;
    this.#heardAt = this.#clock.mono();
  }

  #jitter(ms: Millis): Millis {
    return ms * (0.5 + this.#random.fraction());
  }

  /** Waits, but no longer than until the duty's history changes. */
  async #pause(ms: Millis): Promise<void> {
    if (this.#stopping.signal.aborted) return;
    this.#changed = new AbortController();
    await this.#clock.sleep(ms, this.#changed.signal);
  }
}
