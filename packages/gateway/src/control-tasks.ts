/**
 * The tasks of the control duty's holder: running submissions, changing weights, reporting usage.
 */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  TeamId,
  WallTime,
} from '@hibiscushill/base';
import type { Log, LogTail } from '@hibiscushill/log';

import type { ConfigTracker } from './config-tracker';
import type { ControlDuty } from './control-duty';
import type { EngineControl, UsageSink } from './control-port';
import type { ServingRoute } from './serving-config';
import type { TargetDirectory } from './target-directory';
import { EngineTracker } from './engine-tracker';
import type { ItemLoader } from './item-loader';
import { BalancedPlacement } from './placement';
import { ProgressStore } from './progress-store';
import type { RequestForwarder } from './request-forwarder';
import { ResultWriter } from './result-writer';
import { RewardCaller } from './reward-caller';
import type { SubmissionRegistry } from './submission';
import type { TargetLimiter } from './target-limiter';
import type { TargetPacer } from './target-pacer';
import type { TargetClient } from './target-port';
import type { PayloadStore } from './payload-store';
import { UsageTracker } from './usage-tracker';
import { WeightController } from './weight-controller';
import { PartitionedWeightPlanner } from './weight-planner';
import { LocalCounts, WindowCounts } from './window-counts';
import { createHandoverRecord } from './submission-records';
import { type CompetedEngines, StepAwareOrder } from './item-order';
import { SubmissionRunner } from './submission-runner';

const HANDOVER_TIMEOUT_MS = 500;

/** The duty, what was read from the log, and the ports that the tasks use. */
export interface ControlTasksOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly usageWindowMs: Millis;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Creates the logger of one part; takes the prefix of its lines. */
  readonly createPartLogger: (prefix: string) => Logger;
  readonly log: Log;
  /** The reader of the stream of submissions. */
  readonly submissionTail: LogTail;
  /** The reader of the stream of duties and usage counts. */
  readonly dutyTail: LogTail;
  readonly duty: ControlDuty;
  readonly config: ConfigTracker;
  readonly directory: TargetDirectory;
  readonly submissions: SubmissionRegistry;
  readonly payloads: PayloadStore;
  readonly itemLoader: ItemLoader;
  readonly client: TargetClient;
  readonly limiter: TargetLimiter;
  readonly pacer: TargetPacer;
  readonly forwarder: RequestForwarder;
  readonly engineControl: EngineControl;
  readonly usageSink: UsageSink;
}

/** Runs the holder's tasks while the duty is held; counts usage at any time. */
export class ControlTasks {
  readonly #options: ControlTasksOptions;

  readonly #writer: ResultWriter;

  readonly #rewards: RewardCaller;

  readonly #runner: SubmissionRunner;

  readonly #weightController: WeightController;

  readonly #usageTracker: UsageTracker;

  #isDraining = false;

  /** @param options - the duty, the ports and what was read from the log */
  constructor(options: ControlTasksOptions) {
    this.#options = options;
    const engineTracker = new EngineTracker(options.clock, options.directory, options.pacer);
    this.#writer = new ResultWriter({
      ...options,
      logger: options.createPartLogger('gateway.results'),
    });
    const rewardLogger = options.createPartLogger('gateway.reward');
    this.#rewards = new RewardCaller({ ...options, logger: rewardLogger });
    this.#runner = this.#createRunner(engineTracker);
    options.limiter.setBacklogSource(
      (service) => this.#runner.countWaitingAt(service) + this.#rewards.countWaitingAt(service),
    );
    this.#weightController = this.#createWeightController(engineTracker);
    this.#usageTracker = this.#createUsageTracker();
  }

  /** How many items wait or run here. */
  get openItems(): number {
    return this.#runner.openItems;
  }

  /** Counts a request that a target began to run for a team. */
  countRequest(team: TeamId, at: MonoTime): void {
    const { clock } = this.#options;
    this.#usageTracker.count(team, (clock.wall() - (clock.mono() - at)) as WallTime);
  }

  /** Prepares the tasks; called when the duty was gained. */
  onGained(): void {
    // Submissions run once the log was read after the gain; this ends a long poll that is waiting.
    void this.#options.submissionTail.catchUp();
    this.#usageTracker.forgetReported();
  }

  /** Schedules a placement of waiting items; called when targets have changed. */
  schedule(): void {
    this.#runner.schedule();
  }

  /** Runs the tasks that are due now; called repeatedly. */
  runDueTasks(): void {
    const { duty } = this.#options;
    // Running items are announced to the next holder; its claim must not end them here.
    if (this.#isDraining) return;
    if (duty.isHeld) {
      if (this.#hasCaughtUp()) this.#runner.start();
      if (this.#runner.isActive) this.#weightController.reconcile();
      this.#usageTracker.processDueWindows();
    } else if (duty.isSuperseded) {
      // A holder whose lease has expired goes on running items until it reads another process's
      // claim: while the log is unavailable, no other process can run them.
      this.#runner.stop();
    }
  }

  /**
   * Starts no further items, and writes to the log which items go on running here.
   *
   * @param drainMs - for how long they may go on
   */
  async announceHandover(drainMs: Millis): Promise<void> {
    const { clock, log } = this.#options;
    this.#isDraining = true;
    if (!this.#runner.isActive) return;
    const handover = this.#runner.drain((clock.wall() + drainMs) as WallTime);
    if (handover.items.length === 0) return;
    await log.append('work', [createHandoverRecord(handover)], { timeoutMs: HANDOVER_TIMEOUT_MS });
  }

  /**
   * Waits until running items have ended, then writes what is pending to the log.
   *
   * @param drainMs - for how long running items may go on before they are stopped
   * @param endsAt - when to give up, although the log may not have taken everything
   */
  async finish(drainMs: Millis, endsAt: MonoTime): Promise<void> {
    const { clock } = this.#options;
    if (this.#runner.isActive) {
      await this.#runner.waitUntilIdle(Math.min(drainMs, endsAt - clock.mono()));
    }
    const stop = new AbortController();
    const flushed = Promise.all([this.#writer.flush(), this.#usageTracker.flush()]);
    await Promise.race([flushed, clock.sleep(Math.max(0, endsAt - clock.mono()), stop.signal)]);
    stop.abort();
    this.#runner.stop();
  }

  /** Resolves when the log has taken the counts of all requests. */
  flushUsage(): Promise<void> {
    return this.#usageTracker.flush();
  }

  /** Gives up what the log hasn't taken; called once no further requests are served. */
  close(): void {
    this.#writer.stop();
    this.#usageTracker.stop();
  }

  /** Whether all submissions that were on the log when the duty was gained have been read. */
  #hasCaughtUp(): boolean {
    const { submissionTail, duty } = this.#options;
    return submissionTail.caughtUpAt !== undefined && submissionTail.caughtUpAt >= duty.gainedAt;
  }

  #createRunner(engineTracker: EngineTracker): SubmissionRunner {
    const { createPartLogger, pacer } = this.#options;
    return new SubmissionRunner({
      ...this.#options,
      logger: createPartLogger('gateway.work'),
      engineTracker,
      rewards: this.#rewards,
      writer: this.#writer,
      progress: new ProgressStore({
        ...this.#options,
        logger: createPartLogger('gateway.progress'),
      }),
      placement: new BalancedPlacement(),
      order: new StepAwareOrder({
        ...this.#options,
        logger: createPartLogger('gateway.order'),
        describeEngines: ({ submission: { terms }, spec }) => {
          const route = this.#options.config.current?.findRoute(terms.host, spec.path);
          // Other services keep the order that they have had.
          const isRanked = route?.backends.some(({ service }) => pacer.isActive(service));
          return isRanked ? describeEngines(engineTracker, route!) : undefined;
        },
      }),
    });
  }

  #createWeightController(engineTracker: EngineTracker): WeightController {
    const { createPartLogger, engineControl, duty, instance } = this.#options;
    return new WeightController({
      ...this.#options,
      logger: createPartLogger('gateway.weights'),
      engineTracker,
      runner: this.#runner,
      engineControl,
      sender: duty.sender,
      holder: instance,
      planner: new PartitionedWeightPlanner(),
    });
  }

  #createUsageTracker(): UsageTracker {
    const { createPartLogger, usageWindowMs, dutyTail, incarnation, instance, duty } =
      this.#options;
    const windowCounts = new WindowCounts(usageWindowMs);
    dutyTail.subscribe((record) => windowCounts.apply(record));
    return new UsageTracker({
      ...this.#options,
      logger: createPartLogger('gateway.usage'),
      windowCounts,
      localCounts: new LocalCounts(incarnation),
      sink: this.#options.usageSink,
      sender: duty.sender,
      holder: instance,
    });
  }
}

/** Describes the engines of all services of a route; undefined while no speed is known. */
function describeEngines(
  engineTracker: EngineTracker,
  { backends }: ServingRoute,
): CompetedEngines | undefined {
  const services = backends.map(({ service }) => service);
  const engines = services.flatMap((service) => engineTracker.listUsable(service));
  const speeds = engines
    .map((engine) => engineTracker.msPerEventOf(engine))
    .filter((ms) => ms !== undefined);
  if (speeds.length === 0) return undefined;
  return {
    services: [...services].sort().join(' '),
    slots: engines.reduce((sum, { slots }) => sum + slots, 0),
    fastestMsPerEvent: Math.min(...speeds),
    averageMsPerEvent: speeds.reduce((sum, ms) => sum + ms, 0) / speeds.length,
  };
}
