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
import { type KeyedLog, type KeyedReader, KeyedTail, type Log, LogTail } from '@hibiscushill/log';

import { ConfigBook } from './config-tracker';
import { ControlDuty } from './control-duty';
import type { EngineControl, UsageSink } from './control-port';
import { TargetDirectory } from './target-directory';
import { Gateway } from './gateway';
import { HolderWork } from './control-tasks';
import { ItemStore } from './item-loader';
import { RequestForwarder } from './request-forwarder';
import type { CallerLimits } from './serving-config';
import { SubmissionBook } from './submission';
import { SubmissionDesk } from './submission-service';
import { FastestChooser } from './target-chooser';
import type { TargetClient } from './target-port';
import { TargetStats } from './target-stats';
import { TextStore } from './payload-store';

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
}

// How often the duty's holder looks for what is due.
const TICK_MS = 100;
// Reads of the log wait this long for a record, and may take this much longer. Trainers wait for
// what is read after an outage, so that it is noticed early that the log is back; a log that
// answers fifty times as slowly as usual still takes under a second.
const TAIL = {
  waitMs: 600,
  timeoutMs: 700,
  mostTimeoutMs: 2_000,
  backoff: { firstMs: 40, mostMs: 300 },
};
// Every record would wake the reads of all processes; results may reach a waiting trainer so much
// later, a small part of the seconds that a step takes.
const FOLLOWER_GATHER_MS = 60;
// For how long after the list of targets couldn't be read a missing entry may be a lapse.
const OUTAGE_MS = 2_500;
const STALE_LIST_MS = 2_000;
// At the end, running items may go on for this part of the grace.
const DRAIN_GRACE_SHARE = 0.6;
// A read that waits when the process ends isn't waited for longer.
const TAIL_STOP_MS = 500;
const FORGET_MS = 5_000;
// Before the first configuration was read; every request is then refused anyway.
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A process that serves callers and, while it has the duty, does the holder's work. */
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

  readonly #duty: ControlDuty;

  readonly #work: HolderWork;

  #lastOutageAt = -Infinity as MonoTime;

  #timers: NodeJS.Timeout[] = [];

  /** @param options - the ports and bounds */
  constructor(options: NodeOptions) {
    this.#options = options;
    const { clock, metrics, random, log, bounds } = options;
    const budget = new LineBudget({ clock, linesPerSecond: options.logLinesPerSecond });
    const createLog = (prefix: string): Logger => budget.bound(createLogger(prefix));
    this.#logger = createLog('gateway.node');
    this.#config = new ConfigBook({ clock, metrics, withdrawnKeyMs: bounds.withdrawnKeyMs });
    this.#directory = new TargetDirectory({ clock });
    this.#stats = new TargetStats(clock);
    this.#configTail = this.#follow(options.configLog, options.readConfig(this.#config));
    this.#targetTail = this.#follow(options.targetLog, options.readTargets(this.#directory));
    this.#dutyTail = new LogTail({ log, clock, random, metrics, ...TAIL, stream: 'usage' });
    this.#workTail = new LogTail({
      log,
      clock,
      random,
      metrics,
      ...TAIL,
      stream: 'work',
      gatherMs: () => (this.#duty.isHeld ? 0 : FOLLOWER_GATHER_MS),
    });
    this.#workTail.subscribe((record) => this.#book.apply(record));
    this.#duty = new ControlDuty({
      ...options,
      turnMs: bounds.dutyTurnMs,
      logger: createLog('gateway.duty'),
      tail: this.#dutyTail,
    });
    const forwarder = this.#createForwarder(createLog);
    const texts = new TextStore(log);
    const shared = {
      ...options,
      config: this.#config,
      book: this.#book,
      texts,
      items: new ItemStore(texts),
    };
    const desk = new SubmissionDesk({
      ...shared,
      logger: createLog('gateway.submission'),
      tail: this.#workTail,
    });
    const logger = createLog('gateway.request');
    this.gateway = new Gateway({ ...shared, logger, forwarder, desk });
    this.#work = new HolderWork({
      ...shared,
      usageWindowMs: bounds.usageWindowMs,
      createLog,
      workTail: this.#workTail,
      dutyTail: this.#dutyTail,
      duty: this.#duty,
      directory: this.#directory,
      forwarder,
    });
  }

  /** Where other processes pass calls on to the log, `IP:port`. */
  get relays(): readonly string[] {
    return this.#duty.relays;
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
    this.#duty.start(() => this.#work.onGained());
    this.#timers = [
      setInterval(() => this.#tick(), TICK_MS),
      setInterval(() => this.#forget(), FORGET_MS),
    ];
    const { instance, incarnation, zone } = this.#options;
    this.#logger.info('Started.', { instance, incarnation, zone });
  }

  /** Finishes what is open, hands the duty over and stops. */
  async stop(): Promise<void> {
    const { bounds, clock } = this.#options;
    this.#logger.info('Stops.', { openItems: this.#work.openItems });
    this.gateway.stop();
    const drainMs = bounds.graceMs * DRAIN_GRACE_SHARE;
    await this.#work.handOver(drainMs);
    await this.#duty.release();
    await this.#work.settle(drainMs);
    await this.gateway.settle();
    this.#timers.forEach((timer) => clearInterval(timer));
    await Promise.all(
      [this.#configTail, this.#targetTail, this.#dutyTail, this.#workTail].map((tail) =>
        Promise.race([tail.stop(), clock.sleep(TAIL_STOP_MS)]),
      ),
    );
    this.#logger.info('Stopped.');
  }

  #follow(log: KeyedLog, reader: KeyedReader): KeyedTail {
    const { clock, random, metrics } = this.#options;
    return new KeyedTail({ log, clock, random, metrics }, reader);
  }

  #createForwarder(createLog: (prefix: string) => Logger): RequestForwarder {
    const { random, zone } = this.#options;
    return new RequestForwarder({
      ...this.#options,
      logger: createLog('gateway.request'),
      directory: this.#directory,
      stats: this.#stats,
      chooser: new FastestChooser({ stats: this.#stats, zone, random }),
      onRun: (req, at) => {
        if (req.team !== undefined) this.#work.countRun(req.team, at);
      },
    });
  }

  #tick(): void {
    if (this.#targetTail.proofAgeMs > STALE_LIST_MS) {
      this.#lastOutageAt = this.#options.clock.mono();
    }
    this.#work.work();
  }

  #isOutage(): boolean {
    const sinceMs = this.#options.clock.mono() - this.#lastOutageAt;
    return sinceMs < OUTAGE_MS || this.#targetTail.proofAgeMs > STALE_LIST_MS;
  }

  #onTarget(target: TargetId): void {
    const services = this.#config.view?.services ?? [];
    const known = services.flatMap((service) => this.#directory.list(service.name));
    this.#stats.setTargets(known.map((entry) => entry.id));
    this.#logger.debug('The list of targets changed.', { target });
    this.#work.schedule();
  }

  #forget(): void {
    const { bounds, clock } = this.#options;
    this.#book.forget((clock.wall() - bounds.keepResultsMs) as WallTime);
  }
}
