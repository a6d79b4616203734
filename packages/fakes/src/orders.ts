/** The fake of the platform's orders to start and stop targets. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { request } from 'undici';
import { z } from 'zod';

import {
  CommonSettings,
  FakeService,
  type FakeServiceOptions,
  NO_COMMON_FAULTS,
  sleep,
} from './fake-service';

const SECOND_MS = 1_000;

const OrdersSettings = CommonSettings.extend({
  /** How long a started target takes to become live, in milliseconds. */
  warmUpMs: z.number().min(0),
  /** How long a stopped target stays listed and is charged for, in milliseconds. */
  leaveMs: z.number().min(0),
  /** The delay before a late order is handled, in milliseconds. */
  landLateMs: z.number().min(0),
  /** The fraction of orders that are delayed by `landLateMs`. */
  landLate: z.number().min(0).max(1),
  /** The URL that starts and stops are posted to; empty for none. */
  callback: z.string(),
  /**
   * Whether target states are set through `/admin/targets` instead of by `warmUpMs` and `leaveMs`.
   */
  external: z.boolean(),
});

type OrdersSettings = z.infer<typeof OrdersSettings>;

const DEFAULTS: OrdersSettings = {
  ...NO_COMMON_FAULTS,
  warmUpMs: 500,
  leaveMs: 500,
  landLateMs: 1_000,
  landLate: 0,
  callback: '',
  external: false,
};

const OrderBody = z.object({
  orderId: z.string().min(1),
  fencing: z.number().int(),
  service: z.string(),
  action: z.enum(['start', 'stop']),
  target: z.string().optional(),
});

const TargetBody = z.object({
  zone: z.string(),
  target: z.string(),
  service: z.string().optional(),
  state: z.enum(['starting', 'live', 'leaving', 'gone']).optional(),
  address: z.string().optional(),
});

type Order = z.infer<typeof OrderBody>;

interface Target {
  readonly target: string;
  readonly zone: string;
  readonly service: string;
  state: 'starting' | 'live' | 'leaving';
  address: string;
  readonly startedAt: number;
}

/** The state of one availability zone. */
interface ZoneState {
  /** The highest fencing number of an order, or -1. */
  highestFencing: number;
  /** The target of each order that was carried out, by order id. */
  readonly orders: Map<string, string | undefined>;
  /** The targets by name. */
  readonly targets: Map<string, Target>;
}

/** A target that was started or stopped. */
export interface TargetChange {
  readonly action: 'start' | 'stop';
  readonly zone: string;
  readonly service: string;
  readonly target: string;
}

/** The options of a fake service, and a listener for changes of targets. */
export interface FakeOrdersOptions extends FakeServiceOptions {
  /** Called at each start and stop of a target. */
  readonly onChange?: (change: TargetChange) => void;
}

/** Keeps a table of targets by availability zone; orders start and stop them in it. */
export class FakeOrders extends FakeService<OrdersSettings> {
  override readonly name = 'orders';

  readonly #zones = new Map<string, ZoneState>();

  readonly #onChange: (change: TargetChange) => void;

  #startCount = 0;

  /** The run time of the targets that were removed. */
  #removedTargetsMs = 0;

  /** @param options - the seed, the initial settings and the listener for changes */
  constructor(options: FakeOrdersOptions = {}) {
    super(OrdersSettings.partial(), DEFAULTS, options);
    this.#onChange = options.onChange ?? (() => undefined);
  }

  /** The cost of all targets so far, in seconds of one target. */
  get targetSeconds(): number {
    const targets = [...this.#zones.values()].flatMap((zone) => [...zone.targets.values()]);
    const runningMs = targets.reduce((sum, target) => sum + Date.now() - target.startedAt, 0);
    return (this.#removedTargetsMs + runningMs) / SECOND_MS;
  }

  override registerRoutes(app: FastifyInstance): void {
    this.addFaultHook(app);
    app.post<{ Params: { zone: string } }>('/v1/zones/:zone/orders', (req, reply) =>
      this.#handleOrder(req, reply),
    );
    app.get<{ Params: { zone: string } }>('/v1/zones/:zone/targets', async (req) =>
      this.#describeZone(req.params.zone),
    );
    app.post('/admin/targets', async (req) => this.#setTarget(TargetBody.parse(req.body)));
    app.get('/admin/cost', async () => ({ targetSeconds: this.targetSeconds }));
  }

  async #handleOrder(req: FastifyRequest<{ Params: { zone: string } }>, reply: FastifyReply) {
    const order = OrderBody.safeParse(req.body);
    if (!order.success) return reply.code(400).send({ error: order.error.message });
    if (this.random.fraction() < this.settings.landLate) await sleep(this.settings.landLateMs);
    const { status, body } = this.#executeOrder(req.params.zone, order.data);
    this.respond(reply, status, body);
    return reply;
  }

  #executeOrder(name: string, order: Order): { status: number; body: unknown } {
    const zone = this.#getZone(name);
    if (order.fencing < zone.highestFencing) {
      this.#recordOrder(name, order, 'refused');
      return { status: 409, body: { highest: zone.highestFencing } };
    }
    zone.highestFencing = order.fencing;
    if (zone.orders.has(order.orderId)) {
      this.#recordOrder(name, order, 'repeated');
      return { status: 200, body: createReceipt(order, zone.orders.get(order.orderId)) };
    }
    const target = order.action === 'start' ? this.#startTarget(name, zone, order) : order.target;
    if (order.action === 'stop') this.#stopTarget(zone, order.target);
    zone.orders.set(order.orderId, target);
    this.#recordOrder(name, { ...order, ...(target !== undefined && { target }) }, 'done');
    return { status: 200, body: createReceipt(order, target) };
  }

  #startTarget(name: string, zone: ZoneState, order: Order): string {
    this.#startCount += 1;
    const target = `${order.service}-${name}-${this.#startCount}`;
    this.#addTarget(zone, { target, zone: name, service: order.service, state: 'starting' });
    this.#notifyChange({ action: 'start', zone: name, service: order.service, target });
    if (!this.settings.external) void this.#makeLiveLater(zone, target);
    return target;
  }

  #addTarget(zone: ZoneState, target: Omit<Target, 'address' | 'startedAt'>): void {
    zone.targets.set(target.target, { ...target, address: '', startedAt: Date.now() });
  }

  async #makeLiveLater(zone: ZoneState, name: string): Promise<void> {
    await sleep(this.settings.warmUpMs);
    const target = zone.targets.get(name);
    if (target?.state === 'starting') target.state = 'live';
  }

  #stopTarget(zone: ZoneState, name: string | undefined): void {
    const target = zone.targets.get(name ?? '');
    if (!target || target.state === 'leaving') return;
    target.state = 'leaving';
    this.#notifyChange({
      action: 'stop',
      zone: target.zone,
      service: target.service,
      target: target.target,
    });
    if (!this.settings.external) void this.#removeTargetLater(zone, target.target);
  }

  async #removeTargetLater(zone: ZoneState, name: string): Promise<void> {
    await sleep(this.settings.leaveMs);
    this.#removeTarget(zone, name);
  }

  #removeTarget(zone: ZoneState, name: string): void {
    const target = zone.targets.get(name);
    if (!target) return;
    this.#removedTargetsMs += Date.now() - target.startedAt;
    zone.targets.delete(name);
  }

  #setTarget(change: z.infer<typeof TargetBody>): object {
    const zone = this.#getZone(change.zone);
    const { target: name, service, state = 'live', address } = change;
    this.history.add({ op: 'target', ...change });
    if (state === 'gone') {
      this.#removeTarget(zone, name);
      return {};
    }
    if (!zone.targets.has(name)) {
      this.#addTarget(zone, { target: name, zone: change.zone, service: service ?? '', state });
    }
    const target = zone.targets.get(name)!;
    target.state = state;
    if (address !== undefined) target.address = address;
    return {};
  }

  #notifyChange(change: TargetChange): void {
    this.history.add({ op: 'change', ...change });
    this.#onChange(change);
    if (this.settings.callback !== '') void postJson(this.settings.callback, change);
  }

  #recordOrder(zone: string, order: Order, outcome: string): void {
    this.history.add({ op: 'order', zone, ...order, outcome });
  }

  #describeZone(name: string): object {
    const zone = this.#getZone(name);
    const targets = [...zone.targets.values()].map(({ target, service, state, address }) => ({
      target,
      service,
      state,
      address,
    }));
    return { targets, highestFencing: zone.highestFencing, orders: [...zone.orders.keys()] };
  }

  #getZone(name: string): ZoneState {
    let zone = this.#zones.get(name);
    if (!zone) {
      zone = { highestFencing: -1, orders: new Map(), targets: new Map() };
      this.#zones.set(name, zone);
    }
    return zone;
  }
}

function createReceipt(order: Order, target: string | undefined): object {
  return target === undefined ? { orderId: order.orderId } : { orderId: order.orderId, target };
}

async function postJson(url: string, body: unknown): Promise<void> {
  const headers = { 'content-type': 'application/json' };
  await request(url, { method: 'POST', headers, body: JSON.stringify(body) })
    .then((res) => res.body.dump())
    .catch(() => undefined);
}
