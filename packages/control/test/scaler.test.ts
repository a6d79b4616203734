import {
  type Failure,
  type FencingNumber,
  type InstanceId,
  type ServiceId,
  type TargetId,
  type ZoneId,
  createFailure,
} from '@hibiscushill/base';
import { Service } from '@hibiscushill/config';
import type {
  GuardOptions,
  OrderReceipt,
  TargetOrder,
  TargetOrders,
  ZoneTargets,
} from '@hibiscushill/log';
import { isNone } from 'fp-ts/Option';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';

import { DemandAggregator, FencedSender, FixedCountPolicy, TargetScaler } from '../src';
import { DutyCluster } from './duty-harness';

const ZONE = 'ba' as ZoneId;
const SERVICE = Service.parse({
  name: 'desk',
  kind: 'plain',
  routes: [{ method: '*', path: '/*' }],
  deadlineMs: 1_000,
  zones: [{ zone: 'ba', least: 1, most: 4 }],
});

/** An in-memory platform that starts and stops targets. */
class FakeTargetOrders implements Pick<TargetOrders, 'order' | 'readZone'> {
  readonly calls: string[] = [];

  /**
   * `lost`: orders are carried out, but their responses don't arrive; `dropped`: orders are lost.
   */
  outcome: 'answered' | 'lost' | 'dropped' = 'answered';

  targets: ZoneTargets['targets'] = [];

  readonly #orders: string[] = [];

  readZone(): ResultAsync<ZoneTargets, Failure> {
    this.calls.push('read');
    const highestFencing = 0 as FencingNumber;
    return okAsync({ targets: this.targets, highestFencing, orders: [...this.#orders] });
  }

  order(
    _zone: ZoneId,
    order: TargetOrder,
    guard: GuardOptions,
  ): ResultAsync<OrderReceipt, Failure> {
    if (!guard.mayWrite()) return errAsync(createFailure('lease_short'));
    this.calls.push(`${order.action} ${order.target ?? order.orderId}`);
    const unknown = createFailure('platform_down', { run: 'may-have-run' });
    if (this.outcome === 'dropped') return errAsync(unknown);
    if (!this.#orders.includes(order.orderId)) this.#carryOut(order);
    return this.outcome === 'lost' ? errAsync(unknown) : okAsync({ orderId: order.orderId });
  }

  #carryOut(order: TargetOrder): void {
    this.#orders.push(order.orderId);
    const target = order.target ?? (`t${this.targets.length}` as TargetId);
    const rest = this.targets.filter((entry) => entry.target !== target);
    const state = order.action === 'start' ? 'live' : 'leaving';
    this.targets = [...rest, { target, service: order.service, state }];
  }
}

let cluster = new DutyCluster();
let zone = new FakeTargetOrders();
const scalers: TargetScaler[] = [];

afterEach(async () => {
  const stopped = Promise.all(scalers.splice(0).map((scaler) => scaler.stop()));
  await cluster.stop();
  await stopped;
});

function joinScaler(name: string, count: () => number) {
  const process = cluster.addProcess(name);
  const scaler = new TargetScaler({
    zone: ZONE,
    clock: process.clock,
    elector: process.elector,
    sender: new FencedSender({ elector: process.elector }),
    orders: zone,
    demand: new DemandAggregator(),
    services: () => [SERVICE],
    countRequests: (target) => (target === 't1' ? 0 : 5),
    createPolicy: () => ({ decide: (input) => new FixedCountPolicy(count()).decide(input) }),
    decisionPeriodMs: 1_000,
  });
  scaler.start();
  scalers.push(scaler);
  return process;
}

function reset(): void {
  cluster = new DutyCluster();
  zone = new FakeTargetOrders();
}

describe('TargetScaler', () => {
  it("reads the platform's targets before its first order", async () => {
    reset();
    joinScaler('a', () => 2);
    await cluster.advance(5_000);
    expect(zone.calls[0]).toBe('read');
    expect(zone.targets).toHaveLength(2);
  });

  it('does not repeat an order whose response was lost when the platform has it', async () => {
    reset();
    zone.outcome = 'lost';
    joinScaler('a', () => 1);
    await cluster.advance(8_000);
    expect(zone.calls.filter((call) => call !== 'read')).toHaveLength(1);
  });

  it('repeats an order that the platform does not have under the same id', async () => {
    reset();
    zone.outcome = 'dropped';
    joinScaler('a', () => 1);
    await cluster.advance(4_000);
    zone.outcome = 'answered';
    await cluster.advance(4_000);
    const sent = zone.calls.filter((call) => call !== 'read');
    expect(sent.length).toBeGreaterThan(1);
    expect(new Set(sent).size).toBe(1);
  });

  it('stops the target with the fewest requests', async () => {
    reset();
    let count = 3;
    joinScaler('a', () => count);
    await cluster.advance(5_000);
    count = 2;
    await cluster.advance(3_000);
    expect(zone.calls.filter((call) => call.startsWith('stop'))).toEqual(['stop t1']);
  });

  it('orders nothing after its lease has ended', async () => {
    reset();
    const process = joinScaler('a', () => 1);
    await cluster.advance(4_000);
    cluster.log.setFaults({ outage: true });
    await cluster.advance(9_000);
    zone.calls.length = 0;
    await cluster.advance(5_000);
    expect([isNone(process.elector.lease), zone.calls]).toEqual([true, []]);
  });
});

describe('DemandAggregator', () => {
  it('keeps the latest summary of each entry and drops summaries that are too old', () => {
    const summary = new DemandAggregator(5_000);
    const row = {
      service: 'desk' as ServiceId,
      zone: ZONE,
      inFlight: 3,
      queued: 1,
      tokensPerSecond: 0,
      requestsPerSecond: 2,
      refusedPerSecond: 0,
      latencyMs: 40,
    };
    const of = (entry: string, number: number, inFlight: number) => ({
      entry: entry as InstanceId,
      incarnation: `${entry}.1`,
      number,
      rows: [{ ...row, inFlight }],
    });
    expect(summary.merge(of('a', 2, 3), 0 as never)).toBe(true);
    expect(summary.merge(of('a', 1, 9), 1 as never)).toBe(false);
    const other = new DemandAggregator(5_000);
    other.merge(of('b', 1, 4), 2_000 as never);
    expect(summary.mergeEncoded(other.encode(2_000 as never), 2_000 as never)._unsafeUnwrap()).toBe(
      1,
    );
    expect(summary.sum(row.service, ZONE, 2_000 as never)).toMatchObject({
      inFlight: 7,
      entries: 2,
    });
    expect(summary.sum(row.service, ZONE, 6_000 as never)).toMatchObject({
      inFlight: 4,
      entries: 1,
    });
    expect(summary.mergeEncoded(Buffer.from('x'), 0 as never).isErr()).toBe(true);
  });
});
