import {
  type FencingNumber,
  type Offset,
  RandomSource,
  type RecordId,
  type ServiceId,
  SystemClock,
  type TeamId,
  type TrainerId,
  type WeightVersion,
  type ZoneId,
} from '@hibiscushill/base';
import {
  HttpLog,
  InstanceList,
  LogTail,
  TargetOrders,
  UsageReports,
  WeightStore,
  appendOnce,
} from '@hibiscushill/log';
import { afterEach, describe, expect, it, vi } from 'vitest';

import {
  Cutter,
  FakeInstances,
  FakeLog,
  FakeOrders,
  FakeServer,
  FakeUsage,
  FakeWeights,
} from '../src';

const TIMEOUT_MS = 300;
const ZONE = 'ba' as ZoneId;
const ALWAYS = { deadlineMs: TIMEOUT_MS, mayWrite: () => true };

const closing: { close(): Promise<void> }[] = [];

function own<T extends { close(): Promise<void> }>(closable: T): T {
  closing.unshift(closable);
  return closable;
}

afterEach(async () => {
  for (const closable of closing.splice(0)) await closable.close();
});

function entry(id: string) {
  return { id: id as RecordId, kind: 'test', payload: { id } };
}

function order(orderId: string, fencing: number) {
  const service = 'desk' as ServiceId;
  return { orderId, fencing: fencing as FencingNumber, service, action: 'start' as const };
}

async function setUpLog() {
  const fake = new FakeLog();
  const server = own(await FakeServer.start([fake]));
  const cutter = own(await Cutter.start({ target: server.address }));
  const url = `http://${cutter.address}`;
  const log = own(new HttpLog({ url, timeoutMs: TIMEOUT_MS, readTimeoutMs: TIMEOUT_MS }));
  const clock = new SystemClock();
  const tail = new LogTail({
    log,
    stream: 'usage',
    clock,
    waitMs: 100,
    random: new RandomSource(1),
  });
  own({ close: () => tail.stop() });
  tail.start();
  return { fake, cutter, log, tail };
}

describe('the client of the log', () => {
  it('reads what it appended', async () => {
    const { log } = await setUpLog();
    const offset = await log.append('trainer.a/b', [entry('a'), entry('b')]);
    expect(offset._unsafeUnwrap()).toBe(0);
    const page = await log.read('trainer.a/b', 1 as Offset);
    expect(page._unsafeUnwrap()).toMatchObject({ records: [{ id: 'b', offset: 1 }], next: 2 });
    expect((await log.bounds('trainer.a/b'))._unsafeUnwrap()).toEqual({ first: 0, next: 2 });
  });

  it('tells an outage, a rate limit and a trim apart from an unknown outcome', async () => {
    const { fake, log } = await setUpLog();
    fake.change({ outage: true });
    const down = await log.append('config', [entry('a')]);
    fake.change({ outage: false, appendsPerSecond: 1 });
    await log.append('config', [entry('b')]);
    const limited = await log.append('config', [entry('c')]);
    fake.change({ appendsPerSecond: 0, silent: true });
    const silent = await log.append('config', [entry('d')]);
    fake.change({ silent: false, trimTo: 1 });
    const trimmed = await log.read('config', 0 as Offset);
    expect([down, limited, silent, trimmed].map((r) => r._unsafeUnwrapErr())).toMatchObject([
      { code: 'platform_down', run: 'not-run', retryAfterMs: 1_000 },
      { code: 'platform_down', run: 'not-run', retryAfterMs: 1_000 },
      { code: 'platform_down', run: 'may-have-run' },
      { code: 'offset_trimmed' },
    ]);
  });

  it('stores a record once though its answer is lost', async () => {
    const { fake, log, tail } = await setUpLog();
    fake.change({ loseAnswers: 1 });
    const result = await appendOnce(log, tail, 'usage', [entry('a')], { timeoutMs: TIMEOUT_MS });
    expect(result._unsafeUnwrap()).toBe(0);
    fake.change({ loseAnswers: 0 });
    const page = await log.read('usage', 0 as Offset);
    expect(page._unsafeUnwrap().records).toHaveLength(1);
  });

  it('reads a log that is slower than its first timeout, where a fixed one never does', async () => {
    const { fake, log } = await setUpLog();
    await log.append('config', [entry('a')]);
    fake.change({ slowMs: 300 });
    for (let tries = 0; tries < 3; tries += 1) {
      const read = await log.read('config', 0 as Offset, { timeoutMs: 100 });
      expect(read.isErr()).toBe(true);
    }
    const clock = new SystemClock();
    const tail = new LogTail({ log, stream: 'config', clock, timeoutMs: 100 });
    own({ close: () => tail.stop() });
    tail.start();
    expect(await tail.waitFor('a' as RecordId)).toMatchObject({ _tag: 'Some', value: 0 });
  });

  it('drops records by age and tells the tail', async () => {
    const { fake, log, tail } = await setUpLog();
    const gaps: unknown[] = [];
    fake.change({ keepMs: 50 });
    await log.append('config', [entry('a')]);
    await vi.waitUntil(async () => (await log.bounds('config'))._unsafeUnwrap().first === 1);
    const late = new LogTail({ log, stream: 'config', clock: new SystemClock() });
    own({ close: () => late.stop() });
    late.onTrimmed((gap) => gaps.push(gap));
    late.start();
    await late.catchUp();
    await tail.catchUp();
    expect(gaps).toEqual([{ from: 0, first: 1 }]);
  });

  it('leaves all silent connections at once', async () => {
    const { cutter, log, tail } = await setUpLog();
    await Promise.all(['a', 'b', 'c', 'd'].map((id) => log.append('usage', [entry(id)])));
    await tail.waitFor('d' as RecordId);
    cutter.silence();
    const lost = await log.append('usage', [entry('e')]);
    expect(lost._unsafeUnwrapErr().run).toBe('may-have-run');
    // The pool still holds idle silent connections here; none of them may be used again.
    expect((await log.append('usage', [entry('f')])).isOk()).toBe(true);
    await tail.waitFor('f' as RecordId);
    expect(cutter.state.silent).toBeGreaterThan(1);
  });
});

describe('the client of the target orders', () => {
  async function setUpOrders() {
    const fake = new FakeOrders({ settings: { warmUpMs: 0 } });
    const server = own(await FakeServer.start([fake]));
    const cutter = own(await Cutter.start({ target: server.address }));
    const url = `http://${cutter.address}`;
    const orders = own(new TargetOrders({ url, timeoutMs: TIMEOUT_MS }));
    return { fake, cutter, orders };
  }

  function outcomes(fake: FakeOrders) {
    return fake
      .report()
      .filter((seen) => seen.op === 'order')
      .map((seen) => seen.outcome);
  }

  it('carries an order out once and refuses an older holder', async () => {
    const { fake, orders } = await setUpOrders();
    const first = await orders.order(ZONE, order('o1', 5), ALWAYS);
    const again = await orders.order(ZONE, order('o1', 5), ALWAYS);
    const older = await orders.order(ZONE, order('o2', 4), ALWAYS);
    expect(again._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
    expect(older._unsafeUnwrapErr().code).toBe('fencing_stale');
    expect(outcomes(fake)).toEqual(['done', 'repeated', 'refused']);
    const zone = (await orders.readZone(ZONE))._unsafeUnwrap();
    expect(zone).toMatchObject({ highestFencing: 5, orders: ['o1'] });
    expect(zone.targets).toHaveLength(1);
  });

  it('asks for the lease after the connection stands, and writes nothing without it', async () => {
    const { fake, orders, cutter } = await setUpOrders();
    const openAtCheck: number[] = [];
    const mayWrite = (): boolean => {
      openAtCheck.push(cutter.state.open);
      return false;
    };
    const result = await orders.order(ZONE, order('o1', 5), { deadlineMs: TIMEOUT_MS, mayWrite });
    expect(result._unsafeUnwrapErr()).toMatchObject({ code: 'lease_short', run: 'not-run' });
    expect(openAtCheck).toEqual([1]);
    expect(outcomes(fake)).toEqual([]);
  });

  it('sends nothing more of an order that a block held past its deadline', async () => {
    const { fake, orders, cutter } = await setUpOrders();
    const mayWrite = (): boolean => {
      cutter.block();
      return true;
    };
    const held = await orders.order(ZONE, order('o1', 5), { deadlineMs: 100, mayWrite });
    expect(held._unsafeUnwrapErr()).toMatchObject({ code: 'platform_down', run: 'may-have-run' });
    cutter.heal();
    await vi.waitUntil(() => cutter.state.open === 0);
    expect((await orders.order(ZONE, order('o2', 5), ALWAYS)).isOk()).toBe(true);
    // The relay may hand on what it took before the reset; the platform sees no other copy.
    const ids = fake
      .report()
      .filter((seen) => seen.op === 'order')
      .map((seen) => seen.orderId);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('warms a target up, stops it and adds up what it cost', async () => {
    const { fake, orders } = await setUpOrders();
    const receipt = (await orders.order(ZONE, order('o1', 5), ALWAYS))._unsafeUnwrap();
    const stateOf = async () => (await orders.readZone(ZONE))._unsafeUnwrap().targets[0]?.state;
    await vi.waitUntil(async () => (await stateOf()) === 'live');
    fake.change({ leaveMs: 0 });
    const stop = { ...order('o2', 5), action: 'stop' as const, target: receipt.target! };
    expect((await orders.order(ZONE, stop, ALWAYS)).isOk()).toBe(true);
    await vi.waitUntil(async () => (await stateOf()) === undefined);
    expect(fake.targetSeconds).toBeGreaterThan(0);
    const changes = fake.report().filter((seen) => seen.op === 'change');
    expect(changes.map((seen) => seen.action)).toEqual(['start', 'stop']);
  });

  it('finds out about an order whose answer was lost', async () => {
    const { fake, orders } = await setUpOrders();
    fake.change({ loseAnswers: 1 });
    const lost = await orders.order(ZONE, order('o1', 5), ALWAYS);
    expect(lost._unsafeUnwrapErr().run).toBe('may-have-run');
    fake.change({ loseAnswers: 0 });
    expect((await orders.readZone(ZONE))._unsafeUnwrap().orders).toEqual(['o1']);
  });
});

describe('the clients of usage, instances and weights', () => {
  it('records a window that is reported with other figures', async () => {
    const fake = new FakeUsage();
    const server = own(await FakeServer.start([fake]));
    const reports = own(new UsageReports({ url: server.url }));
    const report = (requests: number) => ({
      reportId: 'r',
      fencing: 1 as FencingNumber,
      figures: [{ team: 'stalls' as TeamId, service: 'desk' as ServiceId, requests, tokens: 0 }],
    });
    await reports.report('w1', report(1), ALWAYS);
    await reports.report('w1', report(1), ALWAYS);
    await reports.report('w1', report(2), ALWAYS);
    expect(fake.report().map((seen) => seen.violation)).toEqual([
      undefined,
      undefined,
      'other-figures',
    ]);
    expect((await reports.read('w1'))._unsafeUnwrap()?.figures[0]?.requests).toBe(1);
    expect((await reports.read('w2'))._unsafeUnwrap()).toBeUndefined();
  });

  it('lists an instance after the lag', async () => {
    const fake = new FakeInstances({ settings: { lagMs: 600_000 } });
    const server = own(await FakeServer.start([fake]));
    const list = own(new InstanceList({ url: server.url }));
    const instance = { id: 'e1', role: 'entry', zone: ZONE, address: '127.0.0.1:1' };
    const register = () =>
      fetch(`${server.url}/admin/instances`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(instance),
      });
    await register();
    expect((await list.read())._unsafeUnwrap()).toEqual([]);
    fake.change({ lagMs: 0 });
    await register();
    await vi.waitUntil(async () => (await list.read())._unsafeUnwrap().length === 1);
  });

  it('says when to come back for weights over the rate', async () => {
    const settings = { fetchesPerSecond: 1, transferMs: 0, sizeBytes: 100 };
    const server = own(await FakeServer.start([new FakeWeights({ settings })]));
    const store = own(new WeightStore({ url: server.url }));
    const first = await store.fetch('t' as TrainerId, 3 as WeightVersion);
    const second = await store.fetch('t' as TrainerId, 3 as WeightVersion);
    expect(Buffer.from(first._unsafeUnwrap()).toString()).toContain('{"trainer":"t","version":3}');
    expect(second._unsafeUnwrapErr()).toMatchObject({ run: 'not-run', retryAfterMs: 1_000 });
  });
});
