/** Orders targets for one availability zone, for as long as this process has the duty. */
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

import type { DutyKeeper } from '../duty/elector';
import type { Lease } from '../duty/lease';
import type { FencedSender } from '../order/fenced-sender';
import type { DemandSummary } from './demand';
import { type ScalingDecision, ScalingPolicy, TargetUtilisationPolicy } from './policy';

const DECIDE_MS = 10_000;

/** What an entry knows of the work that a target runs. */
export type RunningWork = (target: TargetId) => number;

/** What scales an availability zone. */
export interface TargetScalerOptions {
  readonly zone: ZoneId;
  readonly clock: Clock;
  readonly keeper: DutyKeeper;
  readonly sender: FencedSender;
  readonly orders: Pick<TargetOrders, 'order' | 'readZone'>;
  readonly demand: DemandSummary;
  /** The services declared at present. */
  readonly services: () => readonly Service[];
  /** How much work a target runs; the one with the least is stopped first. */
  readonly runningWork: RunningWork;
  /** Makes the policy of a service. */
  readonly createPolicy?: (service: ServiceId) => ScalingPolicy;
  readonly decideMs?: Millis;
  readonly random?: RandomSource;
  readonly metrics?: Metrics;
}

type PlainOrder = Omit<TargetOrder, 'fencing'>;

/** The task of the holder of `targets/<availability zone>`. */
export class TargetScaler {
  readonly #options: TargetScalerOptions;

  readonly #random: RandomSource;

  readonly #logger;

  readonly #stopping = new AbortController();

  readonly #policies = new Map<ServiceId, ScalingPolicy>();

  // Orders whose outcome isn't known: at most one for each service.
  readonly #unknown = new Map<ServiceId, PlainOrder>();

  #task: Promise<void> | undefined;

  /** @param options - the duty, the platform's interface and what decides */
  constructor(options: TargetScalerOptions) {
    this.#options = options;
    this.#random = options.random ?? createRandomSource();
    this.#logger = createLogger(`control.targets.${options.zone}`);
    // What an earlier holder ordered shows in the platform's state; only own orders are repeated.
    options.keeper.onLost(() => {
      this.#unknown.clear();
      this.#policies.clear();
    });
  }

  /** Starts the task. */
  start(): void {
    this.#task ??= this.#run();
  }

  /** Stops the task. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, keeper, decideMs = DECIDE_MS } = this.#options;
    while (!this.#stopping.signal.aborted) {
      const { lease } = keeper;
      if (isSome(lease)) await this.#scale(lease.value);
      await clock.sleep(decideMs, this.#stopping.signal);
    }
  }

  /** Each round begins with the platform's state, so that a holder's first order follows it. */
  async #scale(lease: Lease): Promise<void> {
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
    const doubtful = this.#unknown.get(service.name);
    if (doubtful) {
      if (!state.orders.includes(doubtful.orderId)) await this.#send(doubtful);
      else this.#unknown.delete(service.name);
      return;
    }
    const decision = this.#decide(service, bounds, state);
    const running = state.targets.filter((target) => isRunning(target, service.name));
    const change = decision.wanted - running.length;
    this.#options.metrics?.count(`scaling.${decision.reason}`);
    if (change > 0) await this.#startTargets(service.name, change);
    if (change < 0) await this.#stopTargets(service.name, -change, state);
  }

  #decide(service: Service, bounds: ServiceZone, state: ZoneTargets): ScalingDecision {
    const { clock, demand, zone } = this.#options;
    const count = (wanted: string): number =>
      state.targets.filter((entry) => entry.service === service.name && entry.state === wanted)
        .length;
    const input = {
      demand: demand.sum(service.name, zone, clock.mono()),
      live: count('live'),
      starting: count('starting'),
      least: bounds.least,
      most: bounds.most,
      slots: service.slots,
    };
    return this.#policyOf(service.name).decide(input, clock, this.#random);
  }

  #policyOf(service: ServiceId): ScalingPolicy {
    const known = this.#policies.get(service);
    if (known) return known;
    const { createPolicy = () => new TargetUtilisationPolicy() } = this.#options;
    const created = createPolicy(service);
    this.#policies.set(service, created);
    return created;
  }

  async #startTargets(service: ServiceId, count: number): Promise<void> {
    for (let started = 0; started < count; started += 1) {
      const result = await this.#send({ orderId: randomUUID(), service, action: 'start' });
      if (result.isErr()) return;
    }
  }

  async #stopTargets(service: ServiceId, count: number, state: ZoneTargets): Promise<void> {
    const { runningWork } = this.#options;
    const candidates = state.targets
      .filter((entry) => entry.service === service && entry.state === 'live')
      .sort((a, b) => runningWork(a.target) - runningWork(b.target))
      .slice(0, count);
    for (const { target } of candidates) {
      const order: PlainOrder = { orderId: randomUUID(), service, action: 'stop', target };
      if ((await this.#send(order)).isErr()) return;
    }
  }

  async #send(order: PlainOrder): Promise<Result<unknown, Failure>> {
    const { sender, orders, zone, metrics } = this.#options;
    const result = await sender.send((fencing, guard) =>
      orders.order(zone, { ...order, fencing }, guard),
    );
    metrics?.count(`scaling.order.${order.action}`);
    if (result.isOk()) {
      this.#unknown.delete(order.service);
      this.#logger.info('Ordered a target.', { action: order.action, service: order.service });
      return result;
    }
    if (result.error.run === 'may-have-run') this.#unknown.set(order.service, order);
    this.#logger.warn('An order was not taken.', { code: result.error.code });
    return err(createFailure(result.error.code, { run: result.error.run }));
  }
}

function isRunning(entry: ZoneTargets['targets'][number], service: ServiceId): boolean {
  return entry.service === service && entry.state !== 'leaving';
}
