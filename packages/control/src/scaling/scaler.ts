/** Starts and stops targets in one availability zone while this process holds the zone's duty. */
import {
  type Clock,
  type Failure,
  type Metrics,
  type Millis,
  type RandomSource,
  type ServiceId,
  type TargetId,
  type ZoneId,
  createFailure,
  createLogger,
  createRandomSource,
} from '@hibiscushill/base';
import type { Service, ServiceZone } from '@hibiscushill/config';
import type { TargetOrder, TargetOrders, ZoneTargets } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';
import { randomUUID } from 'node:crypto';
import { type Result, err } from 'neverthrow';

import type { DutyElector } from '../duty/elector';
import type { Lease } from '../duty/lease';
import type { FencedSender } from '../order/fenced-sender';
import type { DemandAggregator } from './demand';
import { type ScalingDecision, ScalingPolicy, UtilisationPolicy } from './policy';

const DECISION_PERIOD_MS = 10_000;

/** Returns how many requests a target runs and queues, as far as this entry knows. */
export type CountTargetRequests = (target: TargetId) => number;

/** The zone, its duty, the platform's interface, and the inputs of the decisions. */
export interface TargetScalerOptions {
  readonly zone: ZoneId;
  readonly clock: Clock;
  readonly elector: DutyElector;
  readonly sender: FencedSender;
  readonly orders: Pick<TargetOrders, 'order' | 'readZone'>;
  readonly demand: DemandAggregator;
  /** The services that are declared now. */
  readonly services: () => readonly Service[];
  /** How many requests a target has; the target with the fewest is stopped first. */
  readonly countRequests: CountTargetRequests;
  /** Creates the policy of a service; a `UtilisationPolicy` by default. */
  readonly createPolicy?: (service: ServiceId) => ScalingPolicy;
  /** The time between decisions, in milliseconds. */
  readonly decisionPeriodMs?: Millis;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

type UnfencedOrder = Omit<TargetOrder, 'fencing'>;

/** Scales the services of one availability zone while this process holds `targets/<zone>`. */
export class TargetScaler {
  readonly #options: TargetScalerOptions;

  readonly #random: RandomSource;

  readonly #logger;

  readonly #stopping = new AbortController();

  readonly #policies = new Map<ServiceId, ScalingPolicy>();

  // Orders that the platform may have received, though its response was lost: one per service.
  readonly #unconfirmedOrders = new Map<ServiceId, UnfencedOrder>();

  #task: Promise<void> | undefined;

  /** @param options - the zone, its duty, the platform's interface and the decisions' inputs */
  constructor(options: TargetScalerOptions) {
    this.#options = options;
    this.#random = options.random ?? createRandomSource();
    this.#logger = createLogger(`control.targets.${options.zone}`);
    // The platform's state shows what earlier holders ordered; only own orders are sent again.
    options.elector.onLost(() => {
      this.#unconfirmedOrders.clear();
      this.#policies.clear();
    });
  }

  /** Starts to scale. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops, after the order in flight has ended. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, elector, decisionPeriodMs = DECISION_PERIOD_MS } = this.#options;
    while (!this.#stopping.signal.aborted) {
      const { lease } = elector;
      if (isSome(lease)) await this.#scaleZone(lease.value);
      await clock.sleep(decisionPeriodMs, this.#stopping.signal);
    }
  }

  /**
   * Reads the platform's state first, so that a new holder doesn't repeat its predecessor's orders.
   */
  async #scaleZone(lease: Lease): Promise<void> {
    const state = await this.#options.orders.readZone(this.#options.zone);
    if (state.isErr()) {
      this.#options.metrics?.countRetry(state.error.code);
      return;
    }
    for (const service of this.#options.services()) {
      const bounds = service.zones.find((entry) => entry.zone === this.#options.zone);
      if (!bounds || !lease.covers(0) || this.#stopping.signal.aborted) continue;
      await this.#scaleService(service, bounds, state.value);
    }
  }

  async #scaleService(service: Service, bounds: ServiceZone, state: ZoneTargets): Promise<void> {
    const unconfirmed = this.#unconfirmedOrders.get(service.name);
    if (unconfirmed) {
      if (!state.orders.includes(unconfirmed.orderId)) await this.#sendOrder(unconfirmed);
      else this.#unconfirmedOrders.delete(service.name);
      return;
    }
    const decision = this.#decide(service, bounds, state);
    const running = state.targets.filter((target) => isRunning(target, service.name));
    const change = decision.desiredCount - running.length;
    this.#options.metrics?.count(`scaling.${decision.reason}`);
    if (change > 0) await this.#startTargets(service.name, change);
    if (change < 0) await this.#stopTargets(service.name, -change, state);
  }

  #decide(service: Service, bounds: ServiceZone, state: ZoneTargets): ScalingDecision {
    const { clock, demand, zone } = this.#options;
    const count = (targetState: string): number =>
      state.targets.filter((entry) => entry.service === service.name && entry.state === targetState)
        .length;
    const input = {
      demand: demand.sum(service.name, zone, clock.mono()),
      live: count('live'),
      starting: count('starting'),
      least: bounds.least,
      most: bounds.most,
      slots: service.slots,
    };
    return this.#getPolicy(service.name).decide(input, clock, this.#random);
  }

  #getPolicy(service: ServiceId): ScalingPolicy {
    const known = this.#policies.get(service);
    if (known) return known;
    const { createPolicy = () => new UtilisationPolicy() } = this.#options;
    const created = createPolicy(service);
    this.#policies.set(service, created);
    return created;
  }

  async #startTargets(service: ServiceId, count: number): Promise<void> {
    for (let started = 0; started < count; started += 1) {
      const result = await this.#sendOrder({ orderId: randomUUID(), service, action: 'start' });
      if (result.isErr()) return;
    }
  }

  async #stopTargets(service: ServiceId, count: number, state: ZoneTargets): Promise<void> {
    const { countRequests } = this.#options;
    const candidates = state.targets
      .filter((entry) => entry.service === service && entry.state === 'live')
      .sort((a, b) => countRequests(a.target) - countRequests(b.target))
      .slice(0, count);
    for (const { target } of candidates) {
      const order: UnfencedOrder = { orderId: randomUUID(), service, action: 'stop', target };
      if ((await this.#sendOrder(order)).isErr()) return;
    }
  }

  async #sendOrder(order: UnfencedOrder): Promise<Result<unknown, Failure>> {
    const { sender, orders, zone, metrics } = this.#options;
    const result = await sender.send((fencing, guard) =>
      orders.order(zone, { ...order, fencing }, guard),
    );
    metrics?.count(`scaling.order.${order.action}`);
    if (result.isOk()) {
      this.#unconfirmedOrders.delete(order.service);
      this.#logger.info('The platform accepted an order for a target.', {
        action: order.action,
        service: order.service,
      });
      return result;
    }
    if (result.error.run === 'may-have-run') this.#unconfirmedOrders.set(order.service, order);
    this.#logger.warn('An order for a target failed.', { code: result.error.code });
    return err(createFailure(result.error.code, { run: result.error.run }));
  }
}

function isRunning(entry: ZoneTargets['targets'][number], service: ServiceId): boolean {
  return entry.service === service && entry.state !== 'leaving';
}
