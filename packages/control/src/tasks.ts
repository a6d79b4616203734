/** All control tasks of one entry, wired together. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Metrics,
  Millis,
  ServiceId,
  ZoneId,
} from '@hibiscushill/base';
import type { Service } from '@hibiscushill/config';
import { type Log, LogTail, type TargetOrders, type UsageReports } from '@hibiscushill/log';

import { DutyKeeper } from './duty/elector';
import { FencedSender } from './order/fenced-sender';
import { DemandSummary } from './scaling/demand';
import type { ScalingPolicy } from './scaling/policy';
import { type RunningWork, TargetScaler } from './scaling/scaler';
import { UsageLedger } from './usage/batcher';
import { USAGE_DUTY } from './usage/records';
import { UsageReporter } from './usage/reporter';
import { UsageWindows } from './usage/windows';

const FLUSH_MS = 3_000;

/** What an entry's control tasks run on. */
export interface ControlTasksOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly holder: InstanceId;
  readonly incarnation: IncarnationId;
  /** The entries that may take duties, this one included. */
  readonly candidates: () => readonly InstanceId[];
  /** The availability zones whose targets are ordered. */
  readonly zones: readonly ZoneId[];
  /** The services declared at present. */
  readonly services: () => readonly Service[];
  readonly orders: Pick<TargetOrders, 'order' | 'readZone'>;
  readonly reports: Pick<UsageReports, 'read' | 'report'>;
  readonly runningWork: RunningWork;
  readonly createPolicy?: (service: ServiceId) => ScalingPolicy;
  /** The length of a usage window, in milliseconds; the same at every entry. */
  readonly windowMs?: Millis;
  /** How long after its end a window is closed, in milliseconds. */
  readonly graceMs?: Millis;
  readonly metrics?: Metrics;
}

/** The control tasks of one entry. */
export class ControlTasks {
  /** Takes the usage of finished requests. */
  readonly ledger: UsageLedger;

  /** Takes the entries' summaries of demand. */
  readonly demand = new DemandSummary();

  /** One keeper a duty: each availability zone's targets, and usage. */
  readonly keepers: readonly DutyKeeper[];

  readonly #options: ControlTasksOptions;

  readonly #targetsTail: LogTail;

  readonly #usageTail: LogTail;

  readonly #scalers: readonly TargetScaler[];

  readonly #reporter: UsageReporter;

  /** @param options - the log, the platform's interfaces and what is declared */
  constructor(options: ControlTasksOptions) {
    this.#options = options;
    this.#targetsTail = this.#createTail('targets');
    this.#usageTail = this.#createTail('usage');
    const { zones } = options;
    const zoneKeepers = zones.map((zone) => this.#createKeeper(`targets/${zone}`));
    const usageKeeper = this.#createKeeper(USAGE_DUTY);
    this.keepers = [...zoneKeepers, usageKeeper];
    this.ledger = new UsageLedger(options);
    this.#scalers = zoneKeepers.map((keeper, index) =>
      this.#createScaler(zones[index] as ZoneId, keeper),
    );
    this.#reporter = this.#createReporter(usageKeeper);
  }

  /** Starts all tasks. */
  start(): void {
    this.keepers.forEach((keeper) => keeper.start());
    this.#scalers.forEach((scaler) => scaler.start());
    this.#reporter.start();
    this.ledger.start();
    this.#targetsTail.start();
    this.#usageTail.start();
  }

  /**
   * Stops the tasks, hands the duties over and logs the usage that is left. To be called when no
   * request runs any more.
   *
   * @param flushMs - how long the log may take for the usage, in milliseconds
   * @returns how many usage items are left to their agents
   */
  async stop(flushMs: Millis = FLUSH_MS): Promise<number> {
    const left = this.ledger.stop(flushMs);
    await Promise.all([this.#reporter.stop(), ...this.#scalers.map((scaler) => scaler.stop())]);
    await Promise.all(this.keepers.map((keeper) => keeper.release()));
    await Promise.all([this.#targetsTail.stop(), this.#usageTail.stop()]);
    return left;
  }

  #createTail(stream: 'targets' | 'usage'): LogTail {
    const { log, clock, metrics } = this.#options;
    return new LogTail({ log, clock, stream, ...(metrics && { metrics }) });
  }

  #createKeeper(duty: string): DutyKeeper {
    const isUsage = duty === USAGE_DUTY;
    const tail = isUsage ? this.#usageTail : this.#targetsTail;
    return new DutyKeeper({ ...this.#options, tail, stream: isUsage ? 'usage' : 'targets', duty });
  }

  #createScaler(zone: ZoneId, keeper: DutyKeeper): TargetScaler {
    const { demand } = this;
    const sender = this.#createSender(keeper);
    return new TargetScaler({ ...this.#options, zone, keeper, sender, demand });
  }

  #createReporter(keeper: DutyKeeper): UsageReporter {
    const { windowMs } = this.#options;
    const windows = new UsageWindows(windowMs === undefined ? {} : { windowMs });
    const tail = this.#usageTail;
    const sender = this.#createSender(keeper);
    return new UsageReporter({ ...this.#options, tail, keeper, sender, windows });
  }

  #createSender(keeper: DutyKeeper): FencedSender {
    const { metrics } = this.#options;
    return new FencedSender({ keeper, ...(metrics && { metrics }) });
  }
}
