/** Handles the frames of entries. All requests to the target pass through its agent. */
import { createHash } from 'node:crypto';

import {
  type AttemptId,
  type Clock,
  type CodeName,
  type Failure,
  type IncarnationId,
  type Metrics,
  type Millis,
  type MonoTime,
  RESULT_CODES,
  type TeamId,
  createLogger,
} from '@hibiscushill/base';
import { type ConfigStore, ConfigSync } from '@hibiscushill/config';
import type {
  Attach,
  Load,
  LinkServerHandlers,
  LinkSession,
  Run,
  EntryFramePayload,
} from '@hibiscushill/protocol';
import type { QueuePolicy } from '@hibiscushill/routing';
import { isSome } from 'fp-ts/Option';

import { Attempt } from './attempt';
import type { AttemptExecutor } from './attempt-executor';
import { AdmissionController } from './admission-controller';
import { AttemptRegistry } from './attempt-registry';
import { LoadReporter } from './load-reporter';
import type { AgentSettings } from './settings';
import { UsageBuffer } from './usage-buffer';
import type { WeightOrderHandler } from './weight-order-handler';
import { WorkQueue } from './work-queue';

const log = createLogger('agent');

const MAINTENANCE_INTERVAL_MS: Millis = 500;
// How long the attempts of a disconnected entry are kept for it.
const REATTACH_GRACE_MS: Millis = 10_000;
const RETRY_AFTER_MS: Millis = 100;
const MAX_USAGE_BATCH_ITEMS = 500;
// Weight of a team that the configuration does not declare.
const DEFAULT_TEAM_WEIGHT = 1;

const EMPTY_END = { count: 0, digest: '', tokens: 0, segments: [], detail: '' };

/** The parts of an agent. */
export interface AgentOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly settings: AgentSettings;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly executor: AttemptExecutor;
  readonly queue: QueuePolicy<Attempt>;
  readonly weightOrders: WeightOrderHandler;
  /** Sends a load report to every entry. */
  readonly broadcast: (load: Load) => void;
}

/** Receives attempts from entries, runs them at the target, and sends the responses back. */
export class Agent implements LinkServerHandlers {
  readonly #options: AgentOptions;

  readonly #registry: AttemptRegistry;

  readonly #admission: AdmissionController;

  readonly #workQueue: WorkQueue;

  readonly #usageBuffer: UsageBuffer;

  readonly #configSync: ConfigSync;

  readonly #loadReporter: LoadReporter;

  // When the link of each disconnected entry was lost, by the entry's incarnation.
  readonly #detachedEntries = new Map<string, MonoTime>();

  readonly #sessions = new Set<LinkSession>();

  /** @param options - the parts */
  constructor(options: AgentOptions) {
    const { clock, config, settings } = options;
    this.#options = options;
    this.#registry = new AttemptRegistry({ clock, maxStoredBytes: settings.storeBytes });
    this.#usageBuffer = new UsageBuffer(clock);
    this.#configSync = new ConfigSync(config);
    this.#admission = new AdmissionController({
      clock,
      config,
      service: settings.service,
      configAgeMs: settings.configAgeMs,
    });
    this.#workQueue = new WorkQueue({
      clock,
      policy: options.queue,
      slots: settings.slots,
      weightOf: (team) => this.#weightOf(team),
      execute: (attempt) => this.#execute(attempt),
      onDropped: (attempt, reason) => this.#refuse(attempt, reason, RETRY_AFTER_MS),
    });
    this.#loadReporter = new LoadReporter({
      workQueue: this.#workQueue,
      admission: this.#admission,
      weights: options.weightOrders,
      broadcast: options.broadcast,
    });
    config.onChange(() => this.#recheckKeys());
  }

  /** Whether no attempt is left that is unsettled. */
  get isIdle(): boolean {
    return this.#registry.unsettledCount === 0;
  }

  /** Whether the target is leaving, so that no new attempts are admitted. */
  get isLeaving(): boolean {
    return this.#admission.isLeaving;
  }

  /** For how long the target has been leaving; undefined while it serves. */
  get leavingAgeMs(): Millis | undefined {
    return this.#admission.leavingAgeMs;
  }

  /** The number of usage items that are not known to be on the log. */
  get bufferedUsageCount(): number {
    return this.#usageBuffer.size;
  }

  /** Admits no new attempts from now on, and reports this to every entry. */
  startLeaving(): void {
    if (this.#admission.isLeaving) return;
    log.info('The target is leaving and admits no new requests.');
    this.#admission.markLeaving();
    this.#loadReporter.report();
  }

  /**
   * Periodically removes expired attempts, abandons those of entries that did not reconnect, and
   * sends due usage to an entry.
   *
   * @param signal - stops the task
   */
  async runMaintenance(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(MAINTENANCE_INTERVAL_MS, signal);
      this.#workQueue.startReady();
      this.#abandonDetachedEntries();
      this.#registry.removeExpired();
      this.sendDueUsage();
      this.#loadReporter.report();
    }
  }

  /** Sends an entry all usage that was not sent before, without waiting until it is due. */
  sendUnsentUsage(): void {
    this.#usageBuffer.expediteUnsent();
    this.sendDueUsage();
  }

  /** Sends the usage that is due to a connected entry, which logs it. */
  sendDueUsage(): void {
    const [session] = [...this.#sessions].filter((connected) => connected.isOpen);
    if (session === undefined) return;
    const items = this.#usageBuffer.claimDue(session.hello.incarnation, MAX_USAGE_BATCH_ITEMS);
    if (items.length > 0) session.send({ $case: 'usage', value: { items } });
  }

  onOpen(session: LinkSession): void {
    this.#sessions.add(session);
    this.#detachedEntries.delete(session.hello.incarnation);
    this.#configSync.pullIfBehind(session, session.hello.configVersion);
    session.send({ $case: 'load', value: this.#loadReporter.readLoad() });
  }

  onClose(session: LinkSession): void {
    this.#sessions.delete(session);
    this.#detachedEntries.set(session.hello.incarnation, this.#options.clock.mono());
    for (const attempt of this.#registry.attempts) attempt.detach(session);
  }

  onConfigVersion(session: LinkSession, version: number, since: MonoTime): void {
    const wasReady = this.#admission.isReady;
    this.#configSync.receiveVersion(session, version, since);
    if (this.#admission.isReady !== wasReady) this.#loadReporter.schedule();
  }

  onFrame(session: LinkSession, frame: EntryFramePayload): void {
    switch (frame.$case) {
      case 'run':
        this.#handleRun(session, frame.value);
        break;
      case 'body':
        this.#handleBody(frame.value.attempt as AttemptId, frame.value.data, frame.value.last);
        break;
      case 'attach':
        this.#handleAttach(session, frame.value);
        break;
      case 'revoke':
        this.#handleRevoke(session, frame.value.attempt as AttemptId);
        break;
      case 'cancel':
        this.#handleCancel(frame.value.attempt as AttemptId);
        break;
      case 'ack':
        this.#handleAck(frame.value.attempt as AttemptId, frame.value.billed);
        break;
      case 'credit':
        this.#registry.find(frame.value.attempt as AttemptId)?.addCredit(frame.value.bytes);
        break;
      case 'config':
        this.#configSync.receiveOffer(session, frame.value);
        break;
      case 'configPull':
        this.#configSync.sendOffer(session, frame.value.have);
        break;
      case 'usageAck':
        this.#usageBuffer.acknowledge(session.hello.incarnation, frame.value.throughSeq);
        break;
      case 'weightOrder':
        void this.#options.weightOrders.handleOrder(session, frame.value);
        break;
      case 'weightQuery':
        void this.#options.weightOrders.handleQuery(session, frame.value);
        break;
      case 'drain':
        this.startLeaving();
        break;
      default:
    }
  }

  #handleRun(session: LinkSession, run: Run): void {
    const { clock, incarnation } = this.#options;
    const deadline = (clock.mono() + run.deadlineMs) as MonoTime;
    const id = run.attempt as AttemptId;
    const tombstone = this.#registry.findTombstone(id);
    if (this.#registry.find(id) !== undefined || tombstone?.mayHaveRun) return;
    const attempt = new Attempt(run, session, deadline, (bytes) =>
      this.#registry.addStoredBytes(bytes),
    );
    this.#registry.add(attempt);
    if (run.incarnation !== incarnation) this.#refuse(attempt, 'incarnation_stale');
    else if (tombstone !== undefined) this.#refuse(attempt, 'attempt_revoked');
    else this.#admit(attempt);
  }

  #admit(attempt: Attempt): void {
    const admitted = this.#admission.admit(attempt.run);
    if (admitted.isErr()) {
      this.#refuseWithFailure(attempt, admitted.error);
    } else if (!this.#registry.hasRoom() || this.#usageBuffer.isFull) {
      this.#refuse(attempt, 'store_full', RETRY_AFTER_MS);
    } else if (attempt.run.bodyComplete) {
      this.#enqueue(attempt);
    }
  }

  #handleBody(id: AttemptId, data: Buffer, isLast: boolean): void {
    const attempt = this.#registry.find(id);
    if (attempt?.state !== 'receiving') return;
    attempt.addBody(data);
    if (isLast) this.#enqueue(attempt);
  }

  #enqueue(attempt: Attempt): void {
    if (this.#followEarlierAttempt(attempt)) return;
    const waitMs = this.#workQueue.estimatedWaitMs;
    if (waitMs > attempt.run.deadlineMs) {
      this.#refuse(attempt, 'deadline_unreachable', waitMs - attempt.run.deadlineMs);
      return;
    }
    attempt.markQueued();
    const pushed = this.#workQueue.push(attempt);
    if (pushed.isErr()) this.#refuse(attempt, 'queue_full', Math.max(waitMs, RETRY_AFTER_MS));
  }

  // A request with the idempotency key of an earlier one gets the response of the earlier one.
  #followEarlierAttempt(attempt: Attempt): boolean {
    const { run } = attempt;
    if (run.idempotencyKey === '') return false;
    const key = `${run.team}/${run.idempotencyKey}`;
    const digest = hashRequest(attempt);
    const earlierRecord = this.#registry.findIdempotencyRecord(key);
    const earlierAttempt = earlierRecord && this.#registry.find(earlierRecord.attempt);
    if (
      earlierRecord === undefined ||
      earlierAttempt === undefined ||
      earlierAttempt.state === 'refused'
    ) {
      this.#registry.addIdempotencyRecord(key, { attempt: attempt.id, digest });
      return false;
    }
    if (earlierRecord.digest === digest) earlierAttempt.addFollower(attempt);
    else this.#refuse(attempt, 'idempotency_reused');
    return true;
  }

  async #execute(attempt: Attempt): Promise<void> {
    const allowed = this.#admission.checkStart(attempt.run);
    if (allowed.isErr()) {
      this.#refuseWithFailure(attempt, allowed.error);
      return;
    }
    this.#loadReporter.schedule();
    await this.#options.executor.run(attempt);
    this.#loadReporter.schedule();
  }

  #handleAttach(session: LinkSession, attach: Attach): void {
    const id = attach.attempt as AttemptId;
    const attempt = this.#registry.find(id);
    if (attempt?.attach(session, attach.fromSeq, attach.creditBytes)) return;
    if (attempt !== undefined || this.#registry.findTombstone(id)?.mayHaveRun) {
      const { code } = RESULT_CODES.answer_broken;
      session.send({ $case: 'end', value: { ...EMPTY_END, attempt: id, code } });
    } else {
      this.#registry.addTombstone(id);
      this.#sendNotRun(session, id, 'attempt_revoked');
    }
  }

  #handleRevoke(session: LinkSession, id: AttemptId): void {
    const attempt = this.#registry.find(id);
    const mayHaveRun = this.#registry.findTombstone(id)?.mayHaveRun ?? false;
    const started = mayHaveRun || attempt?.state === 'running' || attempt?.state === 'finished';
    if (attempt === undefined) this.#registry.addTombstone(id, mayHaveRun);
    else if (!started && !attempt.isDone) this.#dequeueAndRefuse(attempt, 'attempt_revoked');
    session.send({ $case: 'revokeResult', value: { attempt: id, started } });
  }

  #handleCancel(id: AttemptId): void {
    const attempt = this.#registry.find(id);
    if (attempt === undefined) {
      this.#registry.addTombstone(id, this.#registry.findTombstone(id)?.mayHaveRun ?? false);
      return;
    }
    if (attempt.state === 'running') attempt.cancel();
    else if (!attempt.isDone) this.#dequeueAndRefuse(attempt, 'cancelled');
    this.#registry.settle(attempt);
  }

  #handleAck(id: AttemptId, billed: boolean): void {
    const attempt = this.#registry.find(id);
    if (attempt === undefined || attempt.settledAt !== undefined) return;
    this.#registry.settle(attempt);
    if (billed) this.#usageBuffer.add(attempt);
  }

  #dequeueAndRefuse(attempt: Attempt, name: CodeName): void {
    this.#workQueue.remove(attempt);
    this.#refuse(attempt, name);
  }

  #recheckKeys(): void {
    for (const attempt of this.#registry.attempts) {
      if (!attempt.isDone && !attempt.run.publicRoute) this.#recheckKey(attempt);
    }
  }

  #recheckKey(attempt: Attempt): void {
    const allowed = this.#admission.recheckKey(attempt.run);
    if (allowed.isOk()) return;
    this.#options.metrics.countRefusal(allowed.error.code);
    if (attempt.state === 'running') attempt.cancel();
    else this.#dequeueAndRefuse(attempt, allowed.error.code);
  }

  #abandonDetachedEntries(): void {
    const now = this.#options.clock.mono();
    for (const [entry, since] of this.#detachedEntries) {
      if (now - since > REATTACH_GRACE_MS) {
        this.#detachedEntries.delete(entry);
        this.#abandonAttemptsOf(entry);
      }
    }
  }

  #abandonAttemptsOf(entry: string): void {
    for (const attempt of this.#registry.attempts) {
      if (attempt.entry === entry && attempt.settledAt === undefined) this.#abandonAttempt(attempt);
    }
  }

  #abandonAttempt(attempt: Attempt): void {
    // A complete response counts as delivered: the entry may have forwarded it before it was lost.
    if (attempt.isComplete) this.#usageBuffer.add(attempt);
    if (attempt.state === 'running' && attempt.run.idempotent) attempt.cancel();
    else if (!attempt.isDone && attempt.state !== 'running')
      this.#dequeueAndRefuse(attempt, 'cancelled');
    this.#registry.settleAbandoned(attempt);
  }

  #refuseWithFailure(attempt: Attempt, failure: Failure): void {
    this.#refuse(attempt, failure.code, failure.retryAfterMs);
  }

  #refuse(attempt: Attempt, name: CodeName, retryAfterMs: Millis = 0, detail = ''): void {
    this.#options.metrics.countRefusal(name);
    attempt.refuse({
      code: RESULT_CODES[name].code,
      retryAfterMs: Math.ceil(retryAfterMs),
      detail,
    });
    this.#registry.settle(attempt);
  }

  #sendNotRun(session: LinkSession, id: AttemptId, name: CodeName): void {
    const { code } = RESULT_CODES[name];
    const value = { attempt: id, code, retryAfterMs: 0, detail: '' };
    session.send({ $case: 'notRun', value });
  }

  #weightOf(team: TeamId): number {
    const { view } = this.#options.config;
    const found = isSome(view) ? view.value.findTeam(team) : undefined;
    return found !== undefined && isSome(found) ? found.value.weight : DEFAULT_TEAM_WEIGHT;
  }
}

function hashRequest(attempt: Attempt): string {
  const { method, path } = attempt.run;
  return createHash('sha256').update(`${method} ${path}\n`).update(attempt.body).digest('hex');
}
