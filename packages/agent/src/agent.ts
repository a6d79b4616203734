/** The agent: the only way to its target. */
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
  ToAgent,
} from '@hibiscushill/protocol';
import type { QueuePolicy } from '@hibiscushill/routing';
import { isSome } from 'fp-ts/Option';

import { Attempt } from './attempt';
import type { Executor } from './executor';
import { Gate } from './gate';
import { Ledger } from './ledger';
import { LoadReporter } from './load-reporter';
import type { AgentSettings } from './settings';
import { UsageHold } from './usage-hold';
import type { WeightDesk } from './weight-desk';
import { WorkQueue } from './work-queue';

const log = createLogger('agent');

const SWEEP_MS: Millis = 500;
const ATTACH_GRACE_MS: Millis = 10_000;
const RETRY_SOON_MS: Millis = 100;
const HAND_OVER_ITEMS = 500;
const INITIAL_WEIGHT = 1;

const EMPTY_END = { count: 0, digest: '', tokens: 0, segments: [], detail: '' };

/** What an agent is made of. */
export interface AgentOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly settings: AgentSettings;
  readonly incarnation: IncarnationId;
  readonly config: ConfigStore;
  readonly executor: Executor;
  readonly queue: QueuePolicy<Attempt>;
  readonly weights: WeightDesk;
  /** Sends a frame to every entry. */
  readonly broadcast: (load: Load) => void;
}

/** Takes frames from entries, runs attempts, and answers. */
export class Agent implements LinkServerHandlers {
  readonly #options: AgentOptions;

  readonly #ledger: Ledger;

  readonly #gate: Gate;

  readonly #work: WorkQueue;

  readonly #usage: UsageHold;

  readonly #sync: ConfigSync;

  readonly #load: LoadReporter;

  readonly #detachedAt = new Map<string, MonoTime>();

  readonly #sessions = new Set<LinkSession>();

  /** @param options - the parts */
  constructor(options: AgentOptions) {
    const { clock, config, settings } = options;
    this.#options = options;
    this.#ledger = new Ledger({ clock, storeBytes: settings.storeBytes });
    this.#usage = new UsageHold(clock);
    this.#sync = new ConfigSync(config);
    this.#gate = new Gate({
      clock,
      config,
      service: settings.service,
      configAgeMs: settings.configAgeMs,
    });
    this.#work = new WorkQueue({
      clock,
      policy: options.queue,
      slots: settings.slots,
      weightOf: (team) => this.#weightOf(team),
      execute: (attempt) => this.#execute(attempt),
      onDropped: (attempt, reason) => this.#refuse(attempt, reason, RETRY_SOON_MS),
    });
    this.#load = new LoadReporter({
      work: this.#work,
      gate: this.#gate,
      weights: options.weights,
      broadcast: options.broadcast,
    });
    config.onChange(() => this.#recheckKeys());
  }

  /** Whether work or unsettled answers are left. */
  get isIdle(): boolean {
    return this.#ledger.openCount === 0;
  }

  /** Whether the target takes no new work. */
  get isLeaving(): boolean {
    return this.#gate.isLeaving;
  }

  /** How much usage waits for the log. */
  get heldUsage(): number {
    return this.#usage.size;
  }

  /** Takes no new work from now on, and says so to every entry. */
  leave(): void {
    if (this.#gate.isLeaving) return;
    log.info('The target leaves service.');
    this.#gate.leave();
    this.#load.report();
  }

  /**
   * Forgets what is old, gives up what no entry came back for, and hands usage over.
   *
   * @param signal - ends the task
   */
  async runSweeps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(SWEEP_MS, signal);
      this.#work.pump();
      this.#giveUpDetached();
      this.#ledger.sweep();
      this.handOverUsage();
      this.#load.report();
    }
  }

  /** Asks an entry to log all usage that is held. */
  hurryUsage(): void {
    this.#usage.hurry();
    this.handOverUsage();
  }

  /** Asks any entry to log the usage that has waited long enough. */
  handOverUsage(): void {
    const [session] = [...this.#sessions].filter((open) => open.isOpen);
    if (session === undefined) return;
    const items = this.#usage.takeDue(session.hello.incarnation, HAND_OVER_ITEMS);
    if (items.length > 0) session.send({ $case: 'usage', value: { items } });
  }

  onOpen(session: LinkSession): void {
    this.#sessions.add(session);
    this.#detachedAt.delete(session.hello.incarnation);
    this.#sync.meet(session, session.hello.configVersion);
    session.send({ $case: 'load', value: this.#load.create() });
  }

  onClose(session: LinkSession): void {
    this.#sessions.delete(session);
    this.#detachedAt.set(session.hello.incarnation, this.#options.clock.mono());
    for (const attempt of this.#ledger.attempts) attempt.detach(session);
  }

  onVersion(session: LinkSession, version: number, since: MonoTime): void {
    const wasReady = this.#gate.isReady;
    this.#sync.compare(session, version, since);
    if (this.#gate.isReady !== wasReady) this.#load.schedule();
  }

  onFrame(session: LinkSession, frame: ToAgent): void {
    switch (frame.$case) {
      case 'run':
        this.#takeRun(session, frame.value);
        break;
      case 'body':
        this.#takeBody(frame.value.attempt as AttemptId, frame.value.data, frame.value.last);
        break;
      case 'attach':
        this.#attach(session, frame.value);
        break;
      case 'revoke':
        this.#revoke(session, frame.value.attempt as AttemptId);
        break;
      case 'cancel':
        this.#cancel(frame.value.attempt as AttemptId);
        break;
      case 'ack':
        this.#acknowledge(frame.value.attempt as AttemptId, frame.value.billed);
        break;
      case 'credit':
        this.#ledger.find(frame.value.attempt as AttemptId)?.addCredit(frame.value.bytes);
        break;
      case 'config':
        this.#sync.take(session, frame.value);
        break;
      case 'configPull':
        this.#sync.answer(session, frame.value.have);
        break;
      case 'usageAck':
        this.#usage.settle(session.hello.incarnation, frame.value.throughSeq);
        break;
      case 'weightOrder':
        void this.#options.weights.takeOrder(session, frame.value);
        break;
      case 'weightQuery':
        void this.#options.weights.answerQuery(session, frame.value);
        break;
      case 'drain':
        this.leave();
        break;
      default:
    }
  }

  #takeRun(session: LinkSession, run: Run): void {
    const { clock, incarnation } = this.#options;
    const deadline = (clock.mono() + run.deadlineMs) as MonoTime;
    const id = run.attempt as AttemptId;
    const tombstone = this.#ledger.findTombstone(id);
    if (this.#ledger.find(id) !== undefined || tombstone?.ran) return;
    const attempt = new Attempt(run, session, deadline, (bytes) => this.#ledger.countStored(bytes));
    this.#ledger.add(attempt);
    if (run.incarnation !== incarnation) this.#refuse(attempt, 'incarnation_stale');
    else if (tombstone !== undefined) this.#refuse(attempt, 'attempt_revoked');
    else this.#admit(attempt);
  }

  #admit(attempt: Attempt): void {
    const admitted = this.#gate.admit(attempt.run);
    if (admitted.isErr()) {
      this.#refuseWith(attempt, admitted.error);
    } else if (!this.#ledger.hasRoom() || this.#usage.isFull) {
      this.#refuse(attempt, 'store_full', RETRY_SOON_MS);
    } else if (attempt.run.bodyComplete) {
      this.#enqueue(attempt);
    }
  }

  #takeBody(id: AttemptId, data: Buffer, isLast: boolean): void {
    const attempt = this.#ledger.find(id);
    if (attempt?.state !== 'receiving') return;
    attempt.addBody(data);
    if (isLast) this.#enqueue(attempt);
  }

  #enqueue(attempt: Attempt): void {
    if (this.#follow(attempt)) return;
    const waitMs = this.#work.estimatedWaitMs;
    if (waitMs > attempt.run.deadlineMs) {
      this.#refuse(attempt, 'deadline_unreachable', waitMs - attempt.run.deadlineMs);
      return;
    }
    attempt.queue();
    const pushed = this.#work.push(attempt);
    if (pushed.isErr()) this.#refuse(attempt, 'queue_full', Math.max(waitMs, RETRY_SOON_MS));
  }

  // A request whose idempotency key came before gets the answer of the first one.
  #follow(attempt: Attempt): boolean {
    const { run } = attempt;
    if (run.idempotencyKey === '') return false;
    const key = `${run.team}/${run.idempotencyKey}`;
    const digest = digestRequest(attempt);
    const earlier = this.#ledger.findKeyed(key);
    const leader = earlier && this.#ledger.find(earlier.attempt);
    if (earlier === undefined || leader === undefined || leader.state === 'refused') {
      this.#ledger.addKeyed(key, { attempt: attempt.id, digest });
      return false;
    }
    if (earlier.digest === digest) leader.addFollower(attempt);
    else this.#refuse(attempt, 'idempotency_reused');
    return true;
  }

  async #execute(attempt: Attempt): Promise<void> {
    const allowed = this.#gate.checkKey(attempt.run);
    if (allowed.isErr()) {
      this.#refuseWith(attempt, allowed.error);
      return;
    }
    this.#load.schedule();
    await this.#options.executor.run(attempt);
    this.#load.schedule();
  }

  #attach(session: LinkSession, attach: Attach): void {
    const id = attach.attempt as AttemptId;
    const attempt = this.#ledger.find(id);
    if (attempt?.attach(session, attach.fromSeq, attach.creditBytes)) return;
    if (attempt !== undefined || this.#ledger.findTombstone(id)?.ran) {
      const { code } = RESULT_CODES.answer_broken;
      session.send({ $case: 'end', value: { ...EMPTY_END, attempt: id, code } });
    } else {
      this.#ledger.bury(id);
      this.#sendNotRun(session, id, 'attempt_revoked');
    }
  }

  #revoke(session: LinkSession, id: AttemptId): void {
    const attempt = this.#ledger.find(id);
    const ran = this.#ledger.findTombstone(id)?.ran ?? false;
    const started = ran || attempt?.state === 'running' || attempt?.state === 'finished';
    if (attempt === undefined) this.#ledger.bury(id, ran);
    else if (!started && !attempt.isDone) this.#withdraw(attempt, 'attempt_revoked');
    session.send({ $case: 'revokeResult', value: { attempt: id, started } });
  }

  #cancel(id: AttemptId): void {
    const attempt = this.#ledger.find(id);
    if (attempt === undefined) {
      this.#ledger.bury(id, this.#ledger.findTombstone(id)?.ran ?? false);
      return;
    }
    if (attempt.state === 'running') attempt.cancel();
    else if (!attempt.isDone) this.#withdraw(attempt, 'cancelled');
    this.#ledger.settle(attempt);
  }

  #acknowledge(id: AttemptId, billed: boolean): void {
    const attempt = this.#ledger.find(id);
    if (attempt === undefined || attempt.settledAt !== undefined) return;
    this.#ledger.settle(attempt);
    if (billed) this.#usage.add(attempt);
  }

  #withdraw(attempt: Attempt, name: CodeName): void {
    this.#work.remove(attempt);
    this.#refuse(attempt, name);
  }

  #recheckKeys(): void {
    for (const attempt of this.#ledger.attempts) {
      if (!attempt.isDone && !attempt.run.publicRoute) this.#recheckKey(attempt);
    }
  }

  #recheckKey(attempt: Attempt): void {
    const allowed = this.#gate.recheckKey(attempt.run);
    if (allowed.isOk()) return;
    this.#options.metrics.countRefusal(allowed.error.code);
    if (attempt.state === 'running') attempt.cancel();
    else this.#withdraw(attempt, allowed.error.code);
  }

  #giveUpDetached(): void {
    const now = this.#options.clock.mono();
    for (const [entry, since] of this.#detachedAt) {
      if (now - since > ATTACH_GRACE_MS) {
        this.#detachedAt.delete(entry);
        this.#giveUpEntry(entry);
      }
    }
  }

  #giveUpEntry(entry: string): void {
    for (const attempt of this.#ledger.attempts) {
      if (attempt.entry === entry && attempt.settledAt === undefined) this.#abandon(attempt);
    }
  }

  #abandon(attempt: Attempt): void {
    // A whole answer counts as delivered: the entry may have sent it on before it was gone.
    if (attempt.isWhole) this.#usage.add(attempt);
    if (attempt.state === 'running' && attempt.run.idempotent) attempt.cancel();
    else if (!attempt.isDone && attempt.state !== 'running') this.#withdraw(attempt, 'cancelled');
    this.#ledger.orphan(attempt);
  }

  #refuseWith(attempt: Attempt, failure: Failure): void {
    this.#refuse(attempt, failure.code, failure.retryAfterMs);
  }

  #refuse(attempt: Attempt, name: CodeName, retryAfterMs: Millis = 0, detail = ''): void {
    this.#options.metrics.countRefusal(name);
    attempt.refuse({
      code: RESULT_CODES[name].code,
      retryAfterMs: Math.ceil(retryAfterMs),
      detail,
    });
    this.#ledger.settle(attempt);
  }

  #sendNotRun(session: LinkSession, id: AttemptId, name: CodeName): void {
    const { code } = RESULT_CODES[name];
    const value = { attempt: id, code, retryAfterMs: 0, detail: '' };
    session.send({ $case: 'notRun', value });
  }

  #weightOf(team: TeamId): number {
    const { view } = this.#options.config;
    const found = isSome(view) ? view.value.findTeam(team) : undefined;
    return found !== undefined && isSome(found) ? found.value.weight : INITIAL_WEIGHT;
  }
}

function digestRequest(attempt: Attempt): string {
  const { method, path } = attempt.run;
  return createHash('sha256').update(`${method} ${path}\n`).update(attempt.body).digest('hex');
}
