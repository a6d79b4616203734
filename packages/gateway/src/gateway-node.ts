/** One gateway process, composed of its parts. */
import {
  type Clock,
  type IncarnationId,
  type InstanceId,
  LogRateLimiter,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RandomSource,
  type RegionId,
  type TargetId,
  type WallTime,
  type ZoneId,
  createLogger,
} from '@hibiscushill/base';
import {
  type KeyedLog,
  type KeyedRecordHandler,
  KeyedTail,
  type Log,
  LogTail,
} from '@hibiscushill/log';

import {
  ByteBudget,
  LimitShares,
  SuspectRequests,
  computeResponseMemory,
} from '@hibiscushill/routing';

import { ColdTargetTracker } from './cold-target-tracker';
import { ConfigTracker } from './config-tracker';
import { DeclaredOrigins } from './declared-origins';
import { ControlDuty } from './control-duty';
import type { EngineControl, UsageSink } from './control-port';
import { TargetDirectory } from './target-directory';
import { Gateway } from './gateway';
import { ControlTasks } from './control-tasks';
import { ItemLoader } from './item-loader';
import { RequestForwarder } from './request-forwarder';
import { hasResumableStreams } from './resumable-stream';
import type { CallerLimits, ServingRoute } from './serving-config';
import { StreamExchange } from './stream-exchange';
import { SubmissionRegistry } from './submission';
import { SubmissionService } from './submission-service';
import { LowestLatencyChooser } from './target-chooser';
import type { TargetClient } from './target-port';
import { LimitExchange } from './limit-exchange';
import { SuspectExchange } from './suspect-exchange';
import { TargetLimiter } from './target-limiter';
import { TargetPacer } from './target-pacer';
import { TargetStats } from './target-stats';
import { PayloadStore } from './payload-store';

/** Who is told what targets say in their responses. */
export interface StatementReceivers {
  readonly directory: TargetDirectory;
  readonly limiter: TargetLimiter;
  readonly coldTargets: ColdTargetTracker;
}

/** The time bounds that the deployment sets. */
export interface GatewayNodeBounds {
  /** For how long after its withdrawal a key may still be accepted, in milliseconds. */
  readonly withdrawnKeyMs: Millis;
  /** How long a former holder may not claim the control duty again, in milliseconds. */
  readonly dutyTurnMs: Millis;
  /** The length of a usage window, in milliseconds. */
  readonly usageWindowMs: Millis;
  /** How long a process may take to shut down, in milliseconds. */
  readonly graceMs: Millis;
  /** How many times the rate that it tolerates a cold target may get in one second. */
  readonly coldOverage: number;
  /** The requests that a cold target may get in one second beyond that. */
  readonly coldSlack: number;
  /** How long results are kept after their submission, in milliseconds. */
  readonly keepResultsMs: Millis;
  /** For how long a target goes on serving after it said that it is leaving, in milliseconds. */
  readonly drainMs: Millis;
  /** The memory of the process, in bytes. */
  readonly memoryBytes: number;
}

/** The process's identity and bounds, and the ports that it uses. */
export interface GatewayNodeOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly zone: ZoneId;
  /** Where this process relays calls of other processes to the log, `IP:port`. */
  readonly relayAddress: string;
  /** The region of this machine; undefined if the platform names none. */
  readonly region?: RegionId | undefined;
  /** The region of each availability zone that the platform names. */
  readonly zoneRegions?: ReadonlyMap<ZoneId, RegionId>;
  readonly bounds: GatewayNodeBounds;
  /** How many log lines below warnings are written each second at most. */
  readonly logLinesPerSecond: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly log: Log;
  readonly configLog: KeyedLog;
  readonly targetLog: KeyedLog;
  /** The log of the origins at which streams may begin. */
  readonly originLog: KeyedLog;
  /** Creates the reader that decodes configurations into the tracker. */
  readonly readConfig: (tracker: ConfigTracker) => KeyedRecordHandler;
  /** Creates the reader that decodes targets' registrations into the directory. */
  readonly readTargets: (directory: TargetDirectory) => KeyedRecordHandler;
  /** Creates the client of targets, which records what they say in their responses. */
  readonly createClient: (receivers: StatementReceivers) => TargetClient;
  /** Creates the control of engines, which records the same. */
  readonly createEngineControl: (receivers: StatementReceivers) => EngineControl;
  readonly usageSink: UsageSink;
}

// How often the tasks of the duty's holder are run.
const TICK_INTERVAL_MS = 100;
// A read waits up to `waitMs` for a record, and times out `timeoutMs` after that. The time-out is
// short since trainers wait after an outage until the log is read again, yet enough for a log that
// responds fifty times as slowly as usual.
const TAIL_OPTIONS = {
  waitMs: 600,
  timeoutMs: 700,
  maxTimeoutMs: 2_000,
  backoff: { initialMs: 40, maxMs: 300 },
};
// Processes that don't hold the duty read new records in batches of this interval, so that not
// every record wakes all of them. This delays results by a small fraction of a step,
// which takes seconds.
const FOLLOWER_BATCH_MS = 60;
// How long after an outage of the target list a registration may be missing because of the outage.
const OUTAGE_MEMORY_MS = 2_500;
// The target list counts as unavailable when it was last read longer ago than this.
const MAX_TARGET_LIST_AGE_MS = 2_000;
// The fraction of the shutdown time for which running items may go on.
const DRAIN_GRACE_FRACTION = 0.6;
// The fraction of the shutdown time after which what the log hasn't taken is given up.
const STOP_GRACE_FRACTION = 0.8;
// How long shutdown waits for the counts of the last requests to be written.
const USAGE_FLUSH_TIMEOUT_MS = 300;
// How long shutdown waits for reads of the log to end.
const TAIL_STOP_TIMEOUT_MS = 500;
const CLEANUP_INTERVAL_MS = 5_000;
// Used before the first configuration was read, while every request is refused anyway.
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A process that serves callers and, while it holds the control duty, runs the holder's tasks. */
export class GatewayNode {
  readonly gateway: Gateway;

  /** What responses take together until their callers have read them. */
  readonly responseBuffers: ByteBudget;

  readonly #options: GatewayNodeOptions;

  readonly #logger: Logger;

  readonly #config: ConfigTracker;

  readonly #directory: TargetDirectory;

  readonly #targetStats: TargetStats;

  readonly #limiter: TargetLimiter;

  readonly #pacer: TargetPacer;

  readonly #coldTargets: ColdTargetTracker;

  readonly #limitExchange: LimitExchange;

  readonly #suspectExchange: SuspectExchange;

  readonly #streamExchange: StreamExchange;

  readonly #submissions = new SubmissionRegistry();

  readonly #configTail: KeyedTail;

  readonly #targetTail: KeyedTail;

  readonly #dutyTail: LogTail;

  readonly #submissionTail: LogTail;

  readonly #duty: ControlDuty;

  readonly #controlTasks: ControlTasks;

  /** The routes whose streams can be resumed. */
  #streamRoutes: readonly ServingRoute[] = [];

  #lastOutageAt = -Infinity as MonoTime;

  #timers: NodeJS.Timeout[] = [];

  /** @param options - the process's identity, bounds and ports */
  constructor(options: GatewayNodeOptions) {
    this.#options = options;
    const { clock, metrics, random, log, bounds } = options;
    this.responseBuffers = new ByteBudget(computeResponseMemory(bounds));
    const rateLimiter = new LogRateLimiter({ clock, linesPerSecond: options.logLinesPerSecond });
    const createPartLogger = (prefix: string): Logger => rateLimiter.wrap(createLogger(prefix));
    this.#logger = createPartLogger('gateway.node');
    this.#config = new ConfigTracker({ ...options, withdrawnKeyMs: bounds.withdrawnKeyMs });
    this.#directory = new TargetDirectory({ clock, metrics, drainMs: bounds.drainMs });
    this.#targetStats = new TargetStats(clock);
    this.#configTail = this.#createKeyedTail(options.configLog, options.readConfig(this.#config));
    this.#targetTail = this.#createKeyedTail(
      options.targetLog,
      options.readTargets(this.#directory),
    );
    this.#dutyTail = new LogTail({ log, clock, random, metrics, ...TAIL_OPTIONS, stream: 'usage' });
    this.#submissionTail = new LogTail({
      log,
      clock,
      random,
      metrics,
      ...TAIL_OPTIONS,
      stream: 'work',
      batchDelayMs: () => (this.#duty.isHeld ? 0 : FOLLOWER_BATCH_MS),
    });
    this.#submissionTail.subscribe((record) => this.#submissions.apply(record));
    this.#duty = new ControlDuty({
      ...options,
      cooldownMs: bounds.dutyTurnMs,
      logger: createPartLogger('gateway.duty'),
      tail: this.#dutyTail,
    });
    const shares = new LimitShares({
      clock,
      process: options.instance,
      readAt: () => this.#dutyTail.caughtUpAt,
      findMainProcess: (target) =>
        this.#coldTargets.isOnlyForItems(target) ? this.#duty.holder : undefined,
    });
    const limiterLogger = createPartLogger('gateway.limits');
    this.#limiter = new TargetLimiter({ clock, shares, metrics, logger: limiterLogger });
    this.#pacer = new TargetPacer({
      ...options,
      logger: createPartLogger('gateway.ramps'),
      config: this.#config,
      directory: this.#directory,
      stats: this.#targetStats,
    });
    this.#coldTargets = new ColdTargetTracker({
      ...options,
      ...bounds,
      logger: limiterLogger,
      config: this.#config,
      directory: this.#directory,
      limiter: this.#limiter,
    });
    this.#limitExchange = new LimitExchange({
      ...options,
      tail: this.#dutyTail,
      directory: this.#directory,
      limiter: this.#limiter,
      shares,
      listProcesses: () => this.#duty.otherInstances,
    });
    this.#suspectExchange = new SuspectExchange({
      ...options,
      logger: createPartLogger('gateway.suspects'),
      tail: this.#dutyTail,
      suspects: new SuspectRequests(),
      isRepeating: () => this.#duty.isHeld,
    });
    this.#streamExchange = this.#createStreamExchange(createPartLogger('gateway.streams'));
    const receivers = {
      directory: this.#directory,
      limiter: this.#limiter,
      coldTargets: this.#coldTargets,
    };
    const client = options.createClient(receivers);
    const forwarder = this.#createForwarder(createPartLogger, client);
    const payloads = new PayloadStore(log);
    const shared = {
      ...options,
      client,
      config: this.#config,
      submissions: this.#submissions,
      payloads,
      itemLoader: new ItemLoader(payloads, this.#submissions),
    };
    const submissionService = new SubmissionService({
      ...shared,
      logger: createPartLogger('gateway.submission'),
      tail: this.#submissionTail,
    });
    const logger = createPartLogger('gateway.request');
    this.gateway = new Gateway({ ...shared, logger, forwarder, submissionService });
    this.#controlTasks = new ControlTasks({
      ...shared,
      usageWindowMs: bounds.usageWindowMs,
      createPartLogger,
      submissionTail: this.#submissionTail,
      dutyTail: this.#dutyTail,
      duty: this.#duty,
      directory: this.#directory,
      limiter: this.#limiter,
      pacer: this.#pacer,
      engineControl: options.createEngineControl(receivers),
      forwarder,
    });
  }

  /** The addresses at which other processes relay calls to the log, `IP:port`. */
  get relayAddresses(): readonly string[] {
    return this.#duty.relayAddresses;
  }

  /** How long ago the configuration was last confirmed to be the newest, in milliseconds. */
  get proofAgeMs(): Millis {
    return this.#configTail.proofAgeMs;
  }

  /** What callers may send by the current configuration. */
  get limits(): CallerLimits {
    return this.#config.current?.limits ?? INITIAL_LIMITS;
  }

  /** Starts to read the logs and to compete for the duty. */
  start(): void {
    this.#config.setFreshnessSource(this.#configTail);
    this.#directory.setOutageCheck(() => this.#isTargetListOutage());
    this.#config.onChanged(() => {
      this.#directory.setEvacuatedZones(this.#config.evacuatedZones);
      this.#streamRoutes = this.#config.current?.routes.filter(hasResumableStreams) ?? [];
    });
    this.#directory.onChanged((target) => this.#onTargetChanged(target));
    this.#configTail.start();
    this.#targetTail.start();
    this.#dutyTail.start();
    this.#submissionTail.start();
    this.#duty.start(() => this.#controlTasks.onGained());
    this.#timers = [
      setInterval(() => this.#tick(), TICK_INTERVAL_MS),
      setInterval(() => this.#removeOldSubmissions(), CLEANUP_INTERVAL_MS),
    ];
    const { instance, incarnation, zone } = this.#options;
    this.#logger.info('The gateway process started.', { instance, incarnation, zone });
  }

  /**
   * Releases the duty and finishes running items. Requests are served as before, as far as they can
   * end in time.
   *
   * @returns when requests that are still open have to be cut off, and a promise that resolves when
   *   no item runs any more
   */
  stop(): { readonly servesUntil: MonoTime; readonly finished: Promise<void> } {
    this.#logger.info('The gateway process is stopping.', {
      openItems: this.#controlTasks.openItems,
    });
    const servesUntil = this.gateway.stop(this.#options.bounds.graceMs);
    return { servesUntil, finished: this.#handOver() };
  }

  async #handOver(): Promise<void> {
    const { bounds, clock } = this.#options;
    const drainMs = bounds.graceMs * DRAIN_GRACE_FRACTION;
    const endsAt = (clock.mono() + bounds.graceMs * STOP_GRACE_FRACTION) as MonoTime;
    await this.#controlTasks.announceHandover(drainMs);
    await this.#duty.release();
    await this.#controlTasks.finish(drainMs, endsAt);
  }

  /**
   * Stops reading the logs, which requests need to be served, and gives up what the log hasn't taken;
   * called after `stop`, once no further requests come.
   */
  async close(): Promise<void> {
    const { clock } = this.#options;
    await Promise.race([this.#controlTasks.flushUsage(), clock.sleep(USAGE_FLUSH_TIMEOUT_MS)]);
    this.#controlTasks.close();
    this.#timers.forEach((timer) => clearInterval(timer));
    await Promise.all(
      [this.#configTail, this.#targetTail, this.#dutyTail, this.#submissionTail].map((tail) =>
        Promise.race([tail.stop(), clock.sleep(TAIL_STOP_TIMEOUT_MS)]),
      ),
    );
    this.#logger.info('Shutdown of the gateway process is complete.');
  }

  #createKeyedTail(log: KeyedLog, reader: KeyedRecordHandler): KeyedTail {
    const { clock, random, metrics } = this.#options;
    return new KeyedTail({ log, clock, random, metrics }, reader);
  }

  #createStreamExchange(logger: Logger): StreamExchange {
    const { originLog } = this.#options;
    const origins = new DeclaredOrigins({
      ...this.#options,
      logger,
      log: originLog,
      directory: this.#directory,
      listRoutes: () => this.#streamRoutes,
      isWithdrawing: () => this.#duty.isHeld,
    });
    return new StreamExchange({ ...this.#options, logger, tail: this.#dutyTail, origins });
  }

  #createForwarder(
    createPartLogger: (prefix: string) => Logger,
    client: TargetClient,
  ): RequestForwarder {
    const { random, zone } = this.#options;
    return new RequestForwarder({
      ...this.#options,
      client,
      logger: createPartLogger('gateway.request'),
      buffers: this.responseBuffers,
      directory: this.#directory,
      limiter: this.#limiter,
      stats: this.#targetStats,
      suspects: this.#suspectExchange,
      streams: this.#streamExchange,
      pacer: this.#pacer,
      chooser: new LowestLatencyChooser({
        stats: this.#targetStats,
        pacer: this.#pacer,
        limiter: this.#limiter,
        zone,
        random,
      }),
      onRun: (req, at) => {
        if (req.team !== undefined) this.#controlTasks.countRequest(req.team, at);
      },
    });
  }

  #tick(): void {
    if (this.#targetTail.proofAgeMs > MAX_TARGET_LIST_AGE_MS) {
      this.#lastOutageAt = this.#options.clock.mono();
    }
    this.#coldTargets.run();
    this.#limitExchange.run();
    this.#pacer.run();
    this.#suspectExchange.run();
    this.#streamExchange.run(this.#streamRoutes);
    this.#controlTasks.runDueTasks();
  }

  #isTargetListOutage(): boolean {
    const sinceMs = this.#options.clock.mono() - this.#lastOutageAt;
    return sinceMs < OUTAGE_MEMORY_MS || this.#targetTail.proofAgeMs > MAX_TARGET_LIST_AGE_MS;
  }

  #onTargetChanged(target: TargetId): void {
    const services = this.#config.current?.services ?? [];
    const registered = services.flatMap((service) => this.#directory.listAll(service.name));
    this.#targetStats.setTargets(registered.map((entry) => entry.id));
    this.#logger.debug('A target in the list was added, changed or removed.', { target });
    this.#controlTasks.schedule();
  }

  #removeOldSubmissions(): void {
    const { bounds, clock } = this.#options;
    this.#submissions.removeFinished((clock.wall() - bounds.keepResultsMs) as WallTime);
  }
}
