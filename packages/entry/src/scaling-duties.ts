/** Scaling of targets by availability zone: the holder of a zone's duty orders its targets. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Metrics,
  TargetId,
  ZoneId,
} from '@hibiscushill/base';
import type { ConfigStore, Service } from '@hibiscushill/config';
import {
  type DemandAggregator,
  DutyElector,
  FencedSender,
  TargetScaler,
} from '@hibiscushill/control';
import { type Log, LogTail, TargetOrders } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

/** The log, the target orders and the demand. */
export interface ScalingDutiesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly ordersUrl: string;
  readonly config: ConfigStore;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  /** The live entries, which may claim a duty. */
  readonly candidates: () => readonly InstanceId[];
  readonly demand: DemandAggregator;
  /** Counts the running and queued requests of a target. */
  readonly countRequests: (target: TargetId) => number;
}

interface ZoneScaling {
  readonly elector: DutyElector;
  readonly scaler: TargetScaler;
}

/** The scaling duties, with an elector and a scaler for each declared availability zone. */
export class ScalingDuties {
  readonly #options: ScalingDutiesOptions;

  readonly #tail: LogTail;

  readonly #orders: TargetOrders;

  readonly #zones = new Map<ZoneId, ZoneScaling>();

  /** @param options - the log, the target orders and the demand */
  constructor(options: ScalingDutiesOptions) {
    const { log, clock, metrics, ordersUrl, config } = options;
    this.#options = options;
    this.#tail = new LogTail({ log, clock, stream: 'targets', metrics });
    this.#orders = new TargetOrders({ url: ordersUrl });
    config.onChange(() => this.#addDeclaredZones());
  }

  /** The electors that claim the duties. */
  get electors(): readonly DutyElector[] {
    return [...this.#zones.values()].map((zone) => zone.elector);
  }

  /** Starts to read claims from the log. */
  start(): void {
    this.#tail.start();
  }

  /** Stops the scalers, and releases every duty. */
  async stop(): Promise<void> {
    await Promise.all([...this.#zones.values()].map((zone) => zone.scaler.stop()));
    await Promise.all(this.electors.map((elector) => elector.release()));
    await this.#tail.stop();
  }

  #addDeclaredZones(): void {
    const zones = new Set(
      this.#services().flatMap((service) => service.zones.map(({ zone }) => zone)),
    );
    zones.forEach((zone) => this.#addZone(zone));
  }

  #addZone(zone: ZoneId): void {
    if (this.#zones.has(zone)) return;
    const { clock, metrics, log, entry, incarnation, candidates, demand } = this.#options;
    const elector = new DutyElector({
      log,
      tail: this.#tail,
      stream: 'targets',
      duty: `targets/${zone}`,
      holder: entry,
      incarnation,
      clock,
      metrics,
      candidates,
    });
    const scaler = new TargetScaler({
      zone,
      clock,
      metrics,
      elector,
      demand,
      sender: new FencedSender({ elector, metrics }),
      orders: this.#orders,
      services: () => this.#services(),
      countRequests: this.#options.countRequests,
    });
    this.#zones.set(zone, { elector, scaler });
    elector.start();
    scaler.start();
  }

  #services(): readonly Service[] {
    const { view } = this.#options.config;
    return isSome(view) ? view.value.declarations.services : [];
  }
}
