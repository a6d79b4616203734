/** The stand-in for the platform's target orders. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { request } from 'undici';
import { z } from 'zod';

import { CommonSettings, NO_COMMON_FAULTS, StandIn, type StandInOptions, sleep } from './stand-in';

const SECOND_MS = 1_000;

const OrdersSettings = CommonSettings.extend({
  /** How long a started target takes until it is live, in milliseconds. */
  warmUpMs: z.number().min(0),
  /** How long a stopped target stays listed and costs, in milliseconds. */
  leaveMs: z.number().min(0),
  /** How long an order is held back before it is looked at, in milliseconds. */
  landLateMs: z.number().min(0),
  /** The share of orders that are held back for `landLateMs`. */
  landLate: z.number().min(0).max(1),
  /** Where starts and stops are announced by `POST`; empty for nowhere. */
  callback: z.string(),
  /** Whether the callback's receiver says when a target is live, in place of the warm-up time. */
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

interface Zone {
  highest: number;
  readonly orders: Map<string, string | undefined>;
  readonly targets: Map<string, Target>;
}

/** A target that was started or stopped. */
export interface TargetChange {
  readonly action: 'start' | 'stop';
  readonly zone: string;
  readonly service: string;
  readonly target: string;
}

/** What the stand-in needs to begin. */
export interface FakeOrdersOptions extends StandInOptions {
  /** Told of each start and stop, so that a launcher can act on it. */
  readonly onChange?: (change: TargetChange) => void;
}

/** Starts and stops targets in a table, by availability zone. */
export class FakeOrders extends StandIn<OrdersSettings> {
  override readonly name = 'orders';

  readonly #zones = new Map<string, Zone>();

  readonly #onChange: (change: TargetChange) => void;

  #started = 0;

  #spentMs = 0;

  /** @param options - the seed, the settings to begin with, and who is told of changes */
  constructor(options: FakeOrdersOptions = {}) {
    super(OrdersSettings.partial(), DEFAULTS, options);
    this.#onChange = options.onChange ?? (() => undefined);
  }

  /** What the targets have cost so far, in seconds of one target. */
  get targetSeconds(): number {
    const running = [...this.#zones.values()].flatMap((zone) => [...zone.targets.values()]);
    const runningMs = running.reduce((sum, target) => sum + Date.now() - target.startedAt, 0);
    return (this.#spentMs + runningMs) / SECOND_MS;
  }

  override register(app: FastifyInstance): void {
    this.guard(app);
    app.post<{ Params: { zone: string } }>('/v1/zones/:zone/orders', (req, reply) =>
      this.#take(req, reply),
    );
    app.get<{ Params: { zone: string } }>('/v1/zones/:zone/targets', async (req) =>
      this.#describe(req.params.zone),
    );
    app.post('/admin/targets', async (req) => this.#setTarget(TargetBody.parse(req.body)));
    app.get('/admin/cost', async () => ({ targetSeconds: this.targetSeconds }));
  }

  async #take(req: FastifyRequest<{ Params: { zone: string } }>, reply: FastifyReply) {
    const order = OrderBody.safeParse(req.body);
    if (!order.success) return reply.code(400).send({ error: order.error.message });
    if (this.random.fraction() < this.settings.landLate) await sleep(this.settings.landLateMs);
    const { status, body } = this.#carryOut(req.params.zone, order.data);
    this.answer(reply, status, body);
    return reply;
  }

  #carryOut(name: string, order: Order): { status: number; body: unknown } {
    const zone = this.#zone(name);
    if (order.fencing < zone.highest) {
      this.#note(name, order, 'refused');
      return { status: 409, body: { highest: zone.highest } };
    }
    zone.highest = order.fencing;
    if (zone.orders.has(order.orderId)) {
      this.#note(name, order, 'repeated');
      return { status: 200, body: receipt(order, zone.orders.get(order.orderId)) };
    }
    const target = order.action === 'start' ? this.#start(name, zone, order) : order.target;
    if (order.action === 'stop') this.#leave(zone, order.target);
    zone.orders.set(order.orderId, target);
    this.#note(name, { ...order, ...(target !== undefined && { target }) }, 'done');
    return { status: 200, body: receipt(order, target) };
  }

  #start(name: string, zone: Zone, order: Order): string {
    this.#started += 1;
    const target = `${order.service}-${name}-${this.#started}`;
    this.#insert(zone, { target, zone: name, service: order.service, state: 'starting' });
    this.#announce({ action: 'start', zone: name, service: order.service, target });
    if (!this.settings.external) void this.#warmUp(zone, target);
    return target;
  }

  #insert(zone: Zone, target: Omit<Target, 'address' | 'startedAt'>): void {
    zone.targets.set(target.target, { ...target, address: '', startedAt: Date.now() });
  }

  async #warmUp(zone: Zone, name: string): Promise<void> {
    await sleep(this.settings.warmUpMs);
    const target = zone.targets.get(name);
    if (target?.state === 'starting') target.state = 'live';
  }

  #leave(zone: Zone, name: string | undefined): void {
    const target = zone.targets.get(name ?? '');
    if (!target || target.state === 'leaving') return;
    target.state = 'leaving';
    this.#announce({
      action: 'stop',
      zone: target.zone,
      service: target.service,
      target: target.target,
    });
    if (!this.settings.external) void this.#removeLater(zone, target.target);
  }

  async #removeLater(zone: Zone, name: string): Promise<void> {
    await sleep(this.settings.leaveMs);
    this.#remove(zone, name);
  }

  #remove(zone: Zone, name: string): void {
    const target = zone.targets.get(name);
    if (!target) return;
    this.#spentMs += Date.now() - target.startedAt;
    zone.targets.delete(name);
  }

  #setTarget(change: z.infer<typeof TargetBody>): object {
    const zone = this.#zone(change.zone);
    const { target: name, service, state = 'live', address } = change;
    this.history.add({ op: 'target', ...change });
    if (state === 'gone') {
      this.#remove(zone, name);
      return {};
    }
    if (!zone.targets.has(name)) {
      this.#insert(zone, { target: name, zone: change.zone, service: service ?? '', state });
    }
    const target = zone.targets.get(name)!;
    target.state = state;
    if (address !== undefined) target.address = address;
    return {};
  }

  #announce(change: TargetChange): void {
    this.history.add({ op: 'change', ...change });
    this.#onChange(change);
    if (this.settings.callback !== '') void post(this.settings.callback, change);
  }

  #note(zone: string, order: Order, outcome: string): void {
    this.history.add({ op: 'order', zone, ...order, outcome });
  }

  #describe(name: string): object {
    const zone = this.#zone(name);
    const targets = [...zone.targets.values()].map(({ target, service, state, address }) => ({
      target,
      service,
      state,
      address,
    }));
    return { targets, highestFencing: zone.highest, orders: [...zone.orders.keys()] };
  }

  #zone(name: string): Zone {
    let zone = this.#zones.get(name);
    if (!zone) {
      zone = { highest: -1, orders: new Map(), targets: new Map() };
      this.#zones.set(name, zone);
    }
    return zone;
  }
}

function receipt(order: Order, target: string | undefined): object {
  return target === undefined ? { orderId: order.orderId } : { orderId: order.orderId, target };
}

async function post(url: string, body: unknown): Promise<void> {
  const headers = { 'content-type': 'application/json' };
  await request(url, { method: 'POST', headers, body: JSON.stringify(body) })
    .then((res) => res.body.dump())
    .catch(() => undefined);
}
