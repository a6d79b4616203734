/** One process of the gateway, put together. */
import {
  type Clock,
  type IncarnationId,
  type InstanceId,
  LineBudget,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type TargetId,
  type WallTime,
  type ZoneId,
  createLogger,
} from '@hibiscushill/base';
import { DutyKeeper, DutyTurns, FencedSender } from '@hibiscushill/control';
import { type KeyedLog, KeyedTail, type KeyedReader, type Log, LogTail } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

import { ConfigBook } from './config-book';
import type { EngineControl, ScaleSink, UsageSink } from './control-port';
import { TargetDirectory } from './directory';
import { Engines } from './engines';
import { Gateway } from './gateway';
import { Peers, createStarted } from './peers';
import { ItemStore } from './item-store';
import { EvenPlacement } from './placement';
import { type ForwardRequest, RequestForwarder } from './request-forwarder';
import { ResultWriter } from './result-writer';
import { RewardCaller } from './reward-caller';
import type { CallerLimits } from './serving-config';
import { SubmissionBook } from './submission';
import { SubmissionDesk } from './submission-desk';
import { FastestChooser } from './target-chooser';
import type { TargetClient } from './target-port';
import { TargetStats } from './target-stats';
import { TextStore } from './text-store';
import { UsageDuty } from './usage-duty';
import { WeightDuty } from './weight-duty';
import { HomeWeights } from './weight-planner';
import { OwnCounts, WindowCounts } from './window-counts';
import { createHandover } from './work-records';
import { LongestFirst } from './work-queue';
import { WorkRunner } from './work-runner';

/** The duty whose holder runs submissions, changes weights, reports usage and starts targets. */
export const CONTROL_DUTY = 'control';

/** The bounds that the deployment sets. */
export interface NodeBounds {
  /** For how long after a key was withdrawn it may still be used, in milliseconds. */
  readonly withdrawnKeyMs: Millis;
  /** A duty may not come back to a process within this time of another's turn, in milliseconds. */
  readonly dutyTurnMs: Millis;
  /** The length of a usage window, in milliseconds. */
  readonly usageWindowMs: Millis;
  /** How long a process has from the signal to its end, in milliseconds. */
  readonly graceMs: Millis;
  /** For how long results are kept after their submission, in milliseconds. */
  readonly keepResultsMs: Millis;
}

/** What a node runs on. */
export interface NodeOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly zone: ZoneId;
  /** Where this process passes calls of others on to the log, `IP:port`. */
  readonly relay: string;
  readonly bounds: NodeBounds;
  /** Lines below warnings that are written each second. */
  readonly logLinesPerSecond: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly log: Log;
  readonly configLog: KeyedLog;
  readonly targetLog: KeyedLog;
  /** Makes the reader that decodes configurations into the book. */
  readonly readConfig: (book: ConfigBook) => KeyedReader;
  /** Makes the reader that decodes targets' entries into the directory. */
  readonly readTargets: (directory: TargetDirectory) => KeyedReader;
  readonly client: TargetClient;
  readonly engineControl: EngineControl;
  readonly usageSink: UsageSink;
  readonly scaleSink: ScaleSink;
}

// Short, so that items wait little for a successor; long enough for a renewal to be written to a
// slow log, a quarter of a second a call, and read back.
const LEASE_MS = 1_300;
const ORDER_DEADLINE_MS = 400;
const DRIFT_MS = 100;
const RENEW_MS = 250;
const RANK_STEP_MS = 40;
const CONTROL_TICK_MS = 100;
// Reads of the log wait this long for a record.
const TAIL_WAIT_MS = 600;
const TAIL_TIMEOUT_MS = 700;
// For how long after the list of targets couldn't be read a missing entry may be a lapse.
const OUTAGE_MS = 2_500;
const STALE_LIST_MS = 2_000;
// At the end, running items may go on for this part of the grace.
const DRAIN_GRACE_SHARE = 0.6;
const HANDOVER_TIMEOUT_MS = 500;
const FORGET_MS = 5_000;
const ANNOUNCE_RETRY_MS = 500;
// Beyond the bound on a duty's return, for clocks that differ.
const TURN_MARGIN_MS = 300;
// Before the first configuration was read; every request is then refused anyway.
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A process that serves callers and, while it has the duty, runs submissions. */
export class GatewayNode {
  readonly gateway: Gateway;

  readonly #options: NodeOptions;

  readonly #logger: Logger;

  readonly #config: ConfigBook;

  readonly #directory: TargetDirectory;

  readonly #stats: TargetStats;

  readonly #book = new SubmissionBook();

  readonly #configTail: KeyedTail;

  readonly #targetTail: KeyedTail;

  readonly #dutyTail: LogTail;

  readonly #workTail: LogTail;

  readonly #peers: Peers;

  readonly #turns: DutyTurns;

  readonly #keeper: DutyKeeper;

  readonly #runner: WorkRunner;

  readonly #weights: WeightDuty;

  readonly #usage: UsageDuty;

  readonly #writer: ResultWriter;

  #lastOutageAt = -Infinity as MonoTime;

  #gainedAt = Infinity as MonoTime;

  #isStopping = false;

  #timers: NodeJS.Timeout[] = [];

  /** @param options - the ports and bounds */
  constructor(options: NodeOptions) {
    this.#options = options;
    const { clock, metrics, random, log, client, zone, bounds } = options;
    const budget = new LineBudget({ clock, linesPerSecond: options.logLinesPerSecond });
    const createBounded = (prefix: string): Logger => budget.bound(createLogger(prefix));
    this.#logger = createBounded('gateway.node');
    this.#config = new ConfigBook({ clock, metrics, withdrawnKeyMs: bounds.withdrawnKeyMs });
    this.#directory = new TargetDirectory({ clock, metrics });
    this.#stats = new TargetStats(clock);
    const keyed = { clock, random, metrics };
    this.#configTail = new KeyedTail(
      { ...keyed, log: options.configLog },
      options.readConfig(this.#config),
    );
    this.#targetTail = new KeyedTail(
      { ...keyed, log: options.targetLog },
      options.readTargets(this.#directory),
    );
    const tail = { log, clock, random, metrics, waitMs: TAIL_WAIT_MS, timeoutMs: TAIL_TIMEOUT_MS };
    this.#dutyTail = new LogTail({ ...tail, stream: 'usage' });
    this.#workTail = new LogTail({ ...tail, stream: 'work' });
    this.#peers = new Peers(options.instance);
    this.#turns = new DutyTurns(CONTROL_DUTY, bounds.dutyTurnMs + TURN_MARGIN_MS);
    this.#dutyTail.subscribe((record) => this.#turns.apply(record));
    this.#keeper = this.#createKeeper();
    this.#dutyTail.subscribe((record) => {
      if (this.#peers.apply(record)) this.#keeper.reconsider();
    });
    const sender = new FencedSender({
      keeper: this.#keeper,
      deadlineMs: ORDER_DEADLINE_MS,
      metrics,
    });
    const counts = new WindowCounts(bounds.usageWindowMs);
    this.#dutyTail.subscribe((record) => counts.apply(record));
    this.#workTail.subscribe((record) => this.#book.apply(record));
    this.#usage = new UsageDuty({
      clock,
      metrics,
      logger: createBounded('gateway.usage'),
      log,
      counts,
      own: new OwnCounts(options.incarnation),
      sink: options.usageSink,
      sender,
      holder: options.instance,
    });
    const forwarder = new RequestForwarder({
      clock,
      random,
      metrics,
      logger: createBounded('gateway.request'),
      client,
      directory: this.#directory,
      stats: this.#stats,
      chooser: new FastestChooser({ stats: this.#stats, zone, random }),
      onRun: (req, at) => this.#countRun(req, at),
    });
    const texts = new TextStore(log);
    const items = new ItemStore(texts);
    const desk = new SubmissionDesk({
      clock,
      metrics,
      random,
      logger: createBounded('gateway.submission'),
      config: this.#config,
      log,
      tail: this.#workTail,
      book: this.#book,
      texts,
      items,
    });
    this.gateway = new Gateway({
      clock,
      metrics,
      random,
      logger: createBounded('gateway.request'),
      config: this.#config,
      forwarder,
      desk,
    });
    const engines = new Engines(clock, this.#directory);
    this.#writer = new ResultWriter({
      log,
      texts,
      book: this.#book,
      clock,
      metrics,
      logger: createBounded('gateway.results'),
    });
    this.#runner = new WorkRunner({
      clock,
      metrics,
      logger: createBounded('gateway.work'),
      config: this.#config,
      book: this.#book,
      items,
      engines,
      client,
      rewards: new RewardCaller({
        clock,
        logger: createBounded('gateway.reward'),
        config: this.#config,
        forwarder,
      }),
      writer: this.#writer,
      placement: new EvenPlacement(),
      order: new LongestFirst(),
    });
    this.#weights = new WeightDuty({
      clock,
      metrics,
      logger: createBounded('gateway.weights'),
      config: this.#config,
      book: this.#book,
      engines,
      runner: this.#runner,
      control: options.engineControl,
      sender,
      holder: options.instance,
      planner: new HomeWeights(),
    });
  }

  /** Where other processes pass calls on to the log, `IP:port`. */
  get relays(): readonly string[] {
    return this.#peers.relays;
  }

  /** How old the newest proof is that the log was read to its end, in milliseconds. */
  get proofAgeMs(): Millis {
    return this.#configTail.proofAgeMs;
  }

  /** What callers may send, by the configuration in force. */
  get limits(): CallerLimits {
    return this.#config.view?.limits ?? FIRST_LIMITS;
  }

  /** Starts to read the logs and to serve. */
  start(): void {
    this.#config.followProof(this.#configTail);
    this.#directory.followOutage(() => this.#isOutage());
    this.#directory.onChanged((target) => this.#onTarget(target));
    this.#configTail.start();
    this.#targetTail.start();
    this.#dutyTail.start();
    this.#workTail.start();
    this.#keeper.onGained(() => {
      this.#gainedAt = this.#options.clock.mono();
      this.#usage.restart();
    });
    this.#keeper.start();
    void this.#announce();
    this.#timers = [
      setInterval(() => this.#tick(), CONTROL_TICK_MS),
      setInterval(() => this.#forget(), FORGET_MS),
    ];
    this.#logger.info('Started.', {
      instance: this.#options.instance,
      incarnation: this.#options.incarnation,
      zone: this.#options.zone,
    });
  }

  /** Finishes what is open, hands duties over and stops. */
  async stop(): Promise<void> {
    const { bounds, clock } = this.#options;
    this.#isStopping = true;
    this.#logger.info('Stops.', { openItems: this.#runner.openItems });
    this.gateway.stop();
    const drainMs = bounds.graceMs * DRAIN_GRACE_SHARE;
    const wasActive = this.#runner.isActive;
    if (wasActive) await this.#handOver(drainMs);
    await this.#keeper.release();
    if (wasActive) await this.#runner.settle(drainMs);
    await this.#writer.settle();
    await this.gateway.settle();
    await this.#usage.settle();
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#runner.stop();
    await Promise.all(
      [this.#configTail, this.#targetTail, this.#dutyTail, this.#workTail].map((tail) =>
        Promise.race([tail.stop(), clock.sleep(HANDOVER_TIMEOUT_MS)]),
      ),
    );
    this.#logger.info('Stopped.');
  }

  async #handOver(drainMs: Millis): Promise<void> {
    const { clock, log } = this.#options;
    const note = this.#runner.drain((clock.wall() + drainMs) as WallTime);
    if (note.items.length === 0) return;
    await log.append('work', [createHandover(note)], { timeoutMs: HANDOVER_TIMEOUT_MS });
  }

  #createKeeper(): DutyKeeper {
    const { clock, metrics, random, log, instance, incarnation } = this.#options;
    return new DutyKeeper({
      log,
      tail: this.#dutyTail,
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
    const { clock, log, instance, incarnation, relay } = this.#options;
    const record = createStarted({ instance, incarnation, relay });
    while (!this.#isStopping) {
      const done = await log.append('usage', [record], { timeoutMs: ANNOUNCE_RETRY_MS });
      if (done.isOk()) return;
      await clock.sleep(ANNOUNCE_RETRY_MS);
    }
  }

  #tick(): void {
    const now = this.#options.clock.mono();
    if (this.#targetTail.proofAgeMs > STALE_LIST_MS) this.#lastOutageAt = now;
    // The items that still run are handed over; the successor's claim must not end them.
    if (this.#isStopping) return;
    const isHeld = isSome(this.#keeper.lease);
    if (isHeld) {
      if (this.#hasReadWork()) this.#runner.start();
      if (this.#runner.isActive) this.#weights.work();
      this.#usage.work();
    } else if (this.#isSuperseded()) {
      this.#runner.stop();
    }
  }

  /** Whether everything that stood on the log when the duty was gained has been read. */
  #hasReadWork(): boolean {
    const { caughtUpAt } = this.#workTail;
    return caughtUpAt !== undefined && caughtUpAt >= this.#gainedAt;
  }

  // A holder that lost touch with the log goes on with its items until it reads a successor's
  // claim: while the log is away, nobody else can run them.
  #isSuperseded(): boolean {
    const { present } = this.#keeper;
    return present !== undefined && present.incarnation !== this.#options.incarnation;
  }

  #isOutage(): boolean {
    const sinceMs = this.#options.clock.mono() - this.#lastOutageAt;
    return sinceMs < OUTAGE_MS || this.#targetTail.proofAgeMs > STALE_LIST_MS;
  }

  #onTarget(target: TargetId): void {
    const { view } = this.#config;
    const known = view?.services.flatMap((service) => this.#directory.list(service.name)) ?? [];
    this.#stats.setTargets(known.map((entry) => entry.id));
    this.#logger.debug('The list of targets changed.', { target });
    this.#runner.schedule();
  }

  #countRun(req: ForwardRequest, at: MonoTime): void {
    const { clock } = this.#options;
    if (req.team === undefined) return;
    this.#usage.count(req.team, (clock.wall() - (clock.mono() - at)) as WallTime);
  }

  #forget(): void {
    const { bounds, clock } = this.#options;
    this.#book.forget((clock.wall() - bounds.keepResultsMs) as WallTime);
  }
}
