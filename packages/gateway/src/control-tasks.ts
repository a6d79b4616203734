/** What the duty's holder does: runs submissions, changes weights, reports usage. */
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

import type { ConfigBook } from './config-tracker';
import type { ControlDuty } from './control-duty';
import type { EngineControl, UsageSink } from './control-port';
import type { TargetDirectory } from './target-directory';
import { Engines } from './engine-tracker';
import type { ItemStore } from './item-loader';
import { EvenPlacement } from './placement';
import { ProgressStore } from './progress-store';
import type { RequestForwarder } from './request-forwarder';
import { ResultWriter } from './result-writer';
import { RewardCaller } from './reward-caller';
import type { SubmissionBook } from './submission';
import type { TargetClient } from './target-port';
import type { TextStore } from './payload-store';
import { UsageDuty } from './usage-tracker';
import { WeightDuty } from './weight-controller';
import { HomeWeights } from './weight-planner';
import { OwnCounts, WindowCounts } from './window-counts';
import { createHandover } from './submission-records';
import { LongestFirst } from './item-order';
import { WorkRunner } from './submission-runner';

const HANDOVER_TIMEOUT_MS = 500;

/** What the work runs on. */
export interface HolderWorkOptions {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly usageWindowMs: Millis;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Makes a log for one part. */
  readonly createLog: (prefix: string) => Logger;
  readonly log: Log;
  /** The tail of the stream of submissions. */
  readonly workTail: LogTail;
  /** The tail of the stream of duties and counts. */
  readonly dutyTail: LogTail;
  readonly duty: ControlDuty;
  readonly config: ConfigBook;
  readonly directory: TargetDirectory;
  readonly book: SubmissionBook;
  readonly texts: TextStore;
  readonly items: ItemStore;
  readonly client: TargetClient;
  readonly forwarder: RequestForwarder;
  readonly engineControl: EngineControl;
  readonly usageSink: UsageSink;
}

/** Does the holder's work while the duty is held; counts usage at any time. */
export class HolderWork {
  readonly #options: HolderWorkOptions;

  readonly #writer: ResultWriter;

  readonly #runner: WorkRunner;

  readonly #weights: WeightDuty;

  readonly #usage: UsageDuty;

  #isDraining = false;

  /** @param options - the ports, the duty and what was read from the log */
  constructor(options: HolderWorkOptions) {
    this.#options = options;
    const engines = new Engines(options.clock, options.directory);
    this.#writer = new ResultWriter({ ...options, logger: options.createLog('gateway.results') });
    this.#runner = this.#createRunner(engines);
    this.#weights = this.#createWeights(engines);
    this.#usage = this.#createUsage();
  }

  /** Items that wait or run. */
  get openItems(): number {
    return this.#runner.openItems;
  }

  /** Counts a request that began to run for a team. */
  countRun(team: TeamId, at: MonoTime): void {
    const { clock } = this.#options;
    this.#usage.count(team, (clock.wall() - (clock.mono() - at)) as WallTime);
  }

  /** Takes note that the duty was gained. */
  onGained(): void {
    // Work starts once the log was read after the gain; a long read must not hold it up.
    void this.#options.workTail.catchUp();
    this.#usage.restart();
  }

  /** Places waiting items soon, since targets have changed. */
  schedule(): void {
    this.#runner.schedule();
  }

  /** Does what is due now. */
  work(): void {
    const { duty } = this.#options;
    // The items that still run are handed over; the successor's claim must not end them.
    if (this.#isDraining) return;
    if (duty.isHeld) {
      if (this.#hasReadWork()) this.#runner.start();
      if (this.#runner.isActive) this.#weights.work();
      this.#usage.work();
    } else if (duty.isSuperseded) {
      // A holder that lost touch with the log goes on with its items until it reads a successor's
      // claim: while the log is away, nobody else can run them.
      this.#runner.stop();
    }
  }

  /** Starts nothing further, and tells a successor what still runs until then. */
  async handOver(drainMs: Millis): Promise<void> {
    const { clock, log } = this.#options;
    this.#isDraining = true;
    if (!this.#runner.isActive) return;
    const note = this.#runner.drain((clock.wall() + drainMs) as WallTime);
    if (note.items.length === 0) return;
    await log.append('work', [createHandover(note)], { timeoutMs: HANDOVER_TIMEOUT_MS });
  }

  /** Resolves when what runs is done and written, or after a time. */
  async settle(drainMs: Millis): Promise<void> {
    if (this.#runner.isActive) await this.#runner.settle(drainMs);
    await this.#writer.settle();
    await this.#usage.settle();
    this.#runner.stop();
  }

  /** Whether everything that stood on the log when the duty was gained has been read. */
  #hasReadWork(): boolean {
    const { workTail, duty } = this.#options;
    return workTail.caughtUpAt !== undefined && workTail.caughtUpAt >= duty.gainedAt;
  }

  #createRunner(engines: Engines): WorkRunner {
    const { createLog } = this.#options;
    return new WorkRunner({
      ...this.#options,
      logger: createLog('gateway.work'),
      engines,
      rewards: new RewardCaller({ ...this.#options, logger: createLog('gateway.reward') }),
      writer: this.#writer,
      progress: new ProgressStore({ ...this.#options, logger: createLog('gateway.progress') }),
      placement: new EvenPlacement(),
      order: new LongestFirst(),
    });
  }

  #createWeights(engines: Engines): WeightDuty {
    const { createLog, engineControl, duty, instance } = this.#options;
    return new WeightDuty({
      ...this.#options,
      logger: createLog('gateway.weights'),
      engines,
      runner: this.#runner,
      control: engineControl,
      sender: duty.sender,
      holder: instance,
      planner: new HomeWeights(),
    });
  }

  #createUsage(): UsageDuty {
    const { createLog, usageWindowMs, dutyTail, incarnation, instance, duty } = this.#options;
    const counts = new WindowCounts(usageWindowMs);
    dutyTail.subscribe((record) => counts.apply(record));
    return new UsageDuty({
      ...this.#options,
      logger: createLog('gateway.usage'),
      counts,
      own: new OwnCounts(incarnation),
      sink: this.#options.usageSink,
      sender: duty.sender,
      holder: instance,
    });
  }
}
