/** Creates the control tasks of one entry, and starts and stops them together. */
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

import { DutyElector } from './duty/elector';
import { FencedSender } from './order/fenced-sender';
import { DemandAggregator } from './scaling/demand';
import type { ScalingPolicy } from './scaling/policy';
import { type CountTargetRequests, TargetScaler } from './scaling/scaler';
import { UsageBatcher } from './usage/batcher';
import { USAGE_DUTY } from './usage/records';
import { UsageReporter } from './usage/reporter';
import { UsageWindows } from './usage/windows';

const FLUSH_TIMEOUT_MS = 3_000;

/** The log, the platform's interfaces, this entry's identity and what is declared. */
export interface ControlTasksOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** This entry's instance. */
  readonly holder: InstanceId;
  readonly incarnation: IncarnationId;
  /** The entries that may claim duties, this one included. */
  readonly candidates: () => readonly InstanceId[];
  /** The availability zones whose targets are scaled. */
  readonly zones: readonly ZoneId[];
  /** The services that are declared now. */
  readonly services: () => readonly Service[];
  readonly orders: Pick<TargetOrders, 'order' | 'readZone'>;
  readonly reports: Pick<UsageReports, 'read' | 'report'>;
  /** How many requests a target has; the target with the fewest is stopped first. */
  readonly countRequests: CountTargetRequests;
  /** Creates the scaling policy of a service; a `UtilisationPolicy` by default. */
  readonly createPolicy?: (service: ServiceId) => ScalingPolicy;
  /** The length of a usage window, in milliseconds; it must be the same in every entry. */
  readonly windowMs?: Millis;
  /** How long after its end a usage window is closed, in milliseconds. */
  readonly graceMs?: Millis;
  readonly metrics?: Metrics;
}

/** The control tasks of one entry: scaling of each availability zone, and usage reports. */
export class ControlTasks {
  /** Collects the usage of finished requests. */
  readonly usageBatcher: UsageBatcher;

  /** Collects the demand summaries of the entries. */
  readonly demand = new DemandAggregator();

  /** One elector per duty: the targets of each availability zone, and usage. */
  readonly electors: readonly DutyElector[];

  readonly #options: ControlTasksOptions;

  readonly #targetsTail: LogTail;

  readonly #usageTail: LogTail;

  readonly #scalers: readonly TargetScaler[];

  readonly #reporter: UsageReporter;

  /** @param options - the log, the platform's interfaces, this entry and what is declared */
  constructor(options: ControlTasksOptions) {
    this.#options = options;
    this.#targetsTail = this.#createTail('targets');
    this.#usageTail = this.#createTail('usage');
    const { zones } = options;
    const zoneElectors = zones.map((zone) => this.#createElector(`targets/${zone}`));
    const usageElector = this.#createElector(USAGE_DUTY);
    this.electors = [...zoneElectors, usageElector];
    this.usageBatcher = new UsageBatcher(options);
    this.#scalers = zoneElectors.map((elector, index) =>
      this.#createScaler(zones[index] as ZoneId, elector),
    );
    this.#reporter = this.#createReporter(usageElector);
  }

  /** Starts all tasks. */
  start(): void {
    this.electors.forEach((elector) => elector.start());
    this.#scalers.forEach((scaler) => scaler.start());
    this.#reporter.start();
    this.usageBatcher.start();
    this.#targetsTail.start();
    this.#usageTail.start();
  }

  /**
   * Stops the tasks, releases the duties and logs the remaining usage. To be called when no request
   * runs any more.
   *
   * @param flushMs - how long to wait until the log has the usage, in milliseconds
   * @returns the number of usage items that weren't logged; their agents still hold them
   */
  async stop(flushMs: Millis = FLUSH_TIMEOUT_MS): Promise<number> {
    const left = this.usageBatcher.stop(flushMs);
    await Promise.all([this.#reporter.stop(), ...this.#scalers.map((scaler) => scaler.stop())]);
    await Promise.all(this.electors.map((elector) => elector.release()));
    await Promise.all([this.#targetsTail.stop(), this.#usageTail.stop()]);
    return left;
  }

  #createTail(stream: 'targets' | 'usage'): LogTail {
    const { log, clock, metrics } = this.#options;
    return new LogTail({ log, clock, stream, ...(metrics && { metrics }) });
  }

  #createElector(duty: string): DutyElector {
    const isUsage = duty === USAGE_DUTY;
    const tail = isUsage ? this.#usageTail : this.#targetsTail;
    return new DutyElector({ ...this.#options, tail, stream: isUsage ? 'usage' : 'targets', duty });
  }

  #createScaler(zone: ZoneId, elector: DutyElector): TargetScaler {
    const { demand } = this;
    const sender = this.#createSender(elector);
    return new TargetScaler({ ...this.#options, zone, elector, sender, demand });
  }

  #createReporter(elector: DutyElector): UsageReporter {
    const { windowMs } = this.#options;
    const windows = new UsageWindows(windowMs === undefined ? {} : { windowMs });
    const tail = this.#usageTail;
    const sender = this.#createSender(elector);
    return new UsageReporter({ ...this.#options, tail, elector, sender, windows });
  }

  #createSender(elector: DutyElector): FencedSender {
    const { metrics } = this.#options;
    return new FencedSender({ elector, ...(metrics && { metrics }) });
  }
}
