/** Target orders by availability zone, given by the holder of each zone's duty. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Metrics,
  TargetId,
  ZoneId,
} from '@hibiscushill/base';
import type { ConfigStore, Service } from '@hibiscushill/config';
import { type DemandSummary, DutyKeeper, FencedSender, TargetScaler } from '@hibiscushill/control';
import { type Log, LogTail, TargetOrders } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';

/** What scaling needs. */
export interface ScalingDutyOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly ordersUrl: string;
  readonly config: ConfigStore;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  readonly candidates: () => readonly InstanceId[];
  readonly demand: DemandSummary;
  readonly runningWork: (target: TargetId) => number;
}

interface ZoneDuty {
  readonly keeper: DutyKeeper;
  readonly scaler: TargetScaler;
}

/** The duties of target orders: one for each declared availability zone. */
export class ScalingDuty {
  readonly #options: ScalingDutyOptions;

  readonly #tail: LogTail;

  readonly #orders: TargetOrders;

  readonly #zones = new Map<ZoneId, ZoneDuty>();

  /** @param options - the log, the orders and the demand */
  constructor(options: ScalingDutyOptions) {
    const { log, clock, metrics, ordersUrl, config } = options;
    this.#options = options;
    this.#tail = new LogTail({ log, clock, stream: 'targets', metrics });
    this.#orders = new TargetOrders({ url: ordersUrl });
    config.onChange(() => this.#follow());
  }

  /** The keepers of the duties. */
  get keepers(): readonly DutyKeeper[] {
    return [...this.#zones.values()].map((zone) => zone.keeper);
  }

  /** Starts to read claims. */
  start(): void {
    this.#tail.start();
  }

  /** Hands every duty over and stops. */
  async stop(): Promise<void> {
    await Promise.all([...this.#zones.values()].map((zone) => zone.scaler.stop()));
    await Promise.all(this.keepers.map((keeper) => keeper.release()));
    await this.#tail.stop();
  }

  #follow(): void {
    const zones = new Set(
      this.#services().flatMap((service) => service.zones.map(({ zone }) => zone)),
    );
    zones.forEach((zone) => this.#open(zone));
  }

  #open(zone: ZoneId): void {
    if (this.#zones.has(zone)) return;
    const { clock, metrics, log, entry, incarnation, candidates, demand } = this.#options;
    const keeper = new DutyKeeper({
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
      keeper,
      demand,
      sender: new FencedSender({ keeper, metrics }),
      orders: this.#orders,
      services: () => this.#services(),
      runningWork: this.#options.runningWork,
    });
    this.#zones.set(zone, { keeper, scaler });
    keeper.start();
    scaler.start();
  }

  #services(): readonly Service[] {
    const { view } = this.#options.config;
    return isSome(view) ? view.value.declarations.services : [];
  }
}
