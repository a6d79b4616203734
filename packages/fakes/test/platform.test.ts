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
  FaultProxy,
  FakeInstances,
  FakeLog,
  FakeOrders,
  FakeServer,
  FakeUsage,
  FakeWeights,
} from '../src';

const TIMEOUT_MS = 300;
const ZONE = 'ba' as ZoneId;
const MAY_WRITE = { deadlineMs: TIMEOUT_MS, mayWrite: () => true };

const openResources: { close(): Promise<void> }[] = [];

function closeAfterTest<T extends { close(): Promise<void> }>(closable: T): T {
  openResources.unshift(closable);
  return closable;
}

afterEach(async () => {
  for (const closable of openResources.splice(0)) await closable.close();
});

function createRecord(id: string) {
  return { id: id as RecordId, kind: 'test', payload: { id } };
}

function createOrder(orderId: string, fencing: number) {
  const service = 'desk' as ServiceId;
  return { orderId, fencing: fencing as FencingNumber, service, action: 'start' as const };
}

async function setUpLog() {
  const fake = new FakeLog();
  const server = closeAfterTest(await FakeServer.start([fake]));
  const proxy = closeAfterTest(await FaultProxy.start({ target: server.address }));
  const url = `http://${proxy.address}`;
  const log = closeAfterTest(
    new HttpLog({ url, timeoutMs: TIMEOUT_MS, readTimeoutMs: TIMEOUT_MS }),
  );
  const clock = new SystemClock();
  const tail = new LogTail({
    log,
    stream: 'usage',
    clock,
    waitMs: 100,
    random: new RandomSource(1),
  });
  closeAfterTest({ close: () => tail.stop() });
  tail.start();
  return { fake, proxy, log, tail };
}

describe('the log client on a fake log', () => {
  it('reads what it appended', async () => {
    const { log } = await setUpLog();
    const offset = await log.append('trainer.a/b', [createRecord('a'), createRecord('b')]);
    expect(offset._unsafeUnwrap()).toBe(0);
    const page = await log.read('trainer.a/b', 1 as Offset);
    expect(page._unsafeUnwrap()).toMatchObject({ records: [{ id: 'b', offset: 1 }], next: 2 });
    expect((await log.bounds('trainer.a/b'))._unsafeUnwrap()).toEqual({ first: 0, next: 2 });
  });

  it('distinguishes an outage, a rate limit and a trim from an unknown outcome', async () => {
    const { fake, log } = await setUpLog();
    fake.changeSettings({ outage: true });
    const down = await log.append('config', [createRecord('a')]);
    fake.changeSettings({ outage: false, appendsPerSecond: 1 });
    await log.append('config', [createRecord('b')]);
    const limited = await log.append('config', [createRecord('c')]);
    fake.changeSettings({ appendsPerSecond: 0, silent: true });
    const silent = await log.append('config', [createRecord('d')]);
    fake.changeSettings({ silent: false, trimTo: 1 });
    const trimmed = await log.read('config', 0 as Offset);
    expect([down, limited, silent, trimmed].map((r) => r._unsafeUnwrapErr())).toMatchObject([
      { code: 'platform_down', run: 'not-run', retryAfterMs: 1_000 },
      { code: 'platform_down', run: 'not-run', retryAfterMs: 1_000 },
      { code: 'platform_down', run: 'may-have-run' },
      { code: 'offset_trimmed' },
    ]);
  });

  it('stores a record once even if the response is lost', async () => {
    const { fake, log, tail } = await setUpLog();
    fake.changeSettings({ loseAnswers: 1 });
    const result = await appendOnce(log, tail, 'usage', [createRecord('a')], {
      timeoutMs: TIMEOUT_MS,
    });
    expect(result._unsafeUnwrap()).toBe(0);
    fake.changeSettings({ loseAnswers: 0 });
    const page = await log.read('usage', 0 as Offset);
    expect(page._unsafeUnwrap().records).toHaveLength(1);
  });

  it('reads a slow log through the tail, which raises its timeout, where a fixed timeout always fails', async () => {
    const { fake, log } = await setUpLog();
    await log.append('config', [createRecord('a')]);
    fake.changeSettings({ slowMs: 300 });
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const read = await log.read('config', 0 as Offset, { timeoutMs: 100 });
      expect(read.isErr()).toBe(true);
    }
    const clock = new SystemClock();
    const tail = new LogTail({ log, stream: 'config', clock, timeoutMs: 100 });
    closeAfterTest({ close: () => tail.stop() });
    tail.start();
    expect(await tail.waitFor('a' as RecordId)).toMatchObject({ _tag: 'Some', value: 0 });
  });

  it('drops records by age and notifies the tail', async () => {
    const { fake, log, tail } = await setUpLog();
    const gaps: unknown[] = [];
    fake.changeSettings({ keepMs: 50 });
    await log.append('config', [createRecord('a')]);
    await vi.waitUntil(async () => (await log.bounds('config'))._unsafeUnwrap().first === 1);
    const late = new LogTail({ log, stream: 'config', clock: new SystemClock() });
    closeAfterTest({ close: () => late.stop() });
    late.onTrimmed((gap) => gaps.push(gap));
    late.start();
    await late.catchUp();
    await tail.catchUp();
    expect(gaps).toEqual([{ from: 0, first: 1 }]);
  });

  it('abandons all silent connections after the first timeout', async () => {
    const { proxy, log, tail } = await setUpLog();
    await Promise.all(['a', 'b', 'c', 'd'].map((id) => log.append('usage', [createRecord(id)])));
    await tail.waitFor('d' as RecordId);
    proxy.silence();
    const lost = await log.append('usage', [createRecord('e')]);
    expect(lost._unsafeUnwrapErr().run).toBe('may-have-run');
    // The connection pool still holds idle silent connections. None of them may be used again.
    expect((await log.append('usage', [createRecord('f')])).isOk()).toBe(true);
    await tail.waitFor('f' as RecordId);
    expect(proxy.state.silent).toBeGreaterThan(1);
  });
});

describe('the client of target orders', () => {
  async function setUpOrders() {
    const fake = new FakeOrders({ settings: { warmUpMs: 0 } });
    const server = closeAfterTest(await FakeServer.start([fake]));
    const proxy = closeAfterTest(await FaultProxy.start({ target: server.address }));
    const url = `http://${proxy.address}`;
    const orders = closeAfterTest(new TargetOrders({ url, timeoutMs: TIMEOUT_MS }));
    return { fake, proxy, orders };
  }

  function listOutcomes(fake: FakeOrders) {
    return fake
      .listHistory()
      .filter((entry) => entry.op === 'order')
      .map((entry) => entry.outcome);
  }

  it('carries out an order once and refuses an older fencing number', async () => {
    const { fake, orders } = await setUpOrders();
    const first = await orders.order(ZONE, createOrder('o1', 5), MAY_WRITE);
    const again = await orders.order(ZONE, createOrder('o1', 5), MAY_WRITE);
    const older = await orders.order(ZONE, createOrder('o2', 4), MAY_WRITE);
    expect(again._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
    expect(older._unsafeUnwrapErr().code).toBe('fencing_stale');
    expect(listOutcomes(fake)).toEqual(['done', 'repeated', 'refused']);
    const zone = (await orders.readZone(ZONE))._unsafeUnwrap();
    expect(zone).toMatchObject({ highestFencing: 5, orders: ['o1'] });
    expect(zone.targets).toHaveLength(1);
  });

  it('checks the lease after the connection is open, and sends nothing without it', async () => {
    const { fake, orders, proxy } = await setUpOrders();
    const openAtCheck: number[] = [];
    const mayWrite = (): boolean => {
      openAtCheck.push(proxy.state.open);
      return false;
    };
    const result = await orders.order(ZONE, createOrder('o1', 5), {
      deadlineMs: TIMEOUT_MS,
      mayWrite,
    });
    expect(result._unsafeUnwrapErr()).toMatchObject({ code: 'lease_short', run: 'not-run' });
    expect(openAtCheck).toEqual([1]);
    expect(listOutcomes(fake)).toEqual([]);
  });

  it('sends nothing more of an order that a blocked connection held past its deadline', async () => {
    const { fake, orders, proxy } = await setUpOrders();
    const mayWrite = (): boolean => {
      proxy.block();
      return true;
    };
    const blocked = await orders.order(ZONE, createOrder('o1', 5), {
      deadlineMs: 100,
      mayWrite,
    });
    expect(blocked._unsafeUnwrapErr()).toMatchObject({
      code: 'platform_down',
      run: 'may-have-run',
    });
    proxy.heal();
    await vi.waitUntil(() => proxy.state.open === 0);
    expect((await orders.order(ZONE, createOrder('o2', 5), MAY_WRITE)).isOk()).toBe(true);
    // The proxy may forward bytes that it received before the reset, but no second copy arrives.
    const ids = fake
      .listHistory()
      .filter((entry) => entry.op === 'order')
      .map((entry) => entry.orderId);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('starts a target, stops it and adds up its cost', async () => {
    const { fake, orders } = await setUpOrders();
    const receipt = (await orders.order(ZONE, createOrder('o1', 5), MAY_WRITE))._unsafeUnwrap();
    const readState = async () => (await orders.readZone(ZONE))._unsafeUnwrap().targets[0]?.state;
    await vi.waitUntil(async () => (await readState()) === 'live');
    fake.changeSettings({ leaveMs: 0 });
    const stop = { ...createOrder('o2', 5), action: 'stop' as const, target: receipt.target! };
    expect((await orders.order(ZONE, stop, MAY_WRITE)).isOk()).toBe(true);
    await vi.waitUntil(async () => (await readState()) === undefined);
    expect(fake.targetSeconds).toBeGreaterThan(0);
    const changes = fake.listHistory().filter((entry) => entry.op === 'change');
    expect(changes.map((entry) => entry.action)).toEqual(['start', 'stop']);
  });

  it('finds an order in the zone if the response to it was lost', async () => {
    const { fake, orders } = await setUpOrders();
    fake.changeSettings({ loseAnswers: 1 });
    const lost = await orders.order(ZONE, createOrder('o1', 5), MAY_WRITE);
    expect(lost._unsafeUnwrapErr().run).toBe('may-have-run');
    fake.changeSettings({ loseAnswers: 0 });
    expect((await orders.readZone(ZONE))._unsafeUnwrap().orders).toEqual(['o1']);
  });
});

describe('the clients of usage, instances and weights', () => {
  it('records a violation if a window is reported with other figures', async () => {
    const fake = new FakeUsage();
    const server = closeAfterTest(await FakeServer.start([fake]));
    const reports = closeAfterTest(new UsageReports({ url: server.url }));
    const createReport = (requests: number) => ({
      reportId: 'r',
      fencing: 1 as FencingNumber,
      figures: [{ team: 'stalls' as TeamId, service: 'desk' as ServiceId, requests, tokens: 0 }],
    });
    await reports.report('w1', createReport(1), MAY_WRITE);
    await reports.report('w1', createReport(1), MAY_WRITE);
    await reports.report('w1', createReport(2), MAY_WRITE);
    expect(fake.listHistory().map((entry) => entry.violation)).toEqual([
      undefined,
      undefined,
      'other-figures',
    ]);
    expect((await reports.read('w1'))._unsafeUnwrap()?.figures[0]?.requests).toBe(1);
    expect((await reports.read('w2'))._unsafeUnwrap()).toBeUndefined();
  });

  it('lists an instance after the delay', async () => {
    const fake = new FakeInstances({ settings: { lagMs: 600_000 } });
    const server = closeAfterTest(await FakeServer.start([fake]));
    const list = closeAfterTest(new InstanceList({ url: server.url }));
    const instance = { id: 'e1', role: 'entry', zone: ZONE, address: '127.0.0.1:1' };
    const register = () =>
      fetch(`${server.url}/admin/instances`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(instance),
      });
    await register();
    expect((await list.read())._unsafeUnwrap()).toEqual([]);
    fake.changeSettings({ lagMs: 0 });
    await register();
    await vi.waitUntil(async () => (await list.read())._unsafeUnwrap().length === 1);
  });

  it('reports when to retry a fetch of weights beyond the rate limit', async () => {
    const settings = { fetchesPerSecond: 1, transferMs: 0, sizeBytes: 100 };
    const server = closeAfterTest(await FakeServer.start([new FakeWeights({ settings })]));
    const store = closeAfterTest(new WeightStore({ url: server.url }));
    const first = await store.fetch('t' as TrainerId, 3 as WeightVersion);
    const second = await store.fetch('t' as TrainerId, 3 as WeightVersion);
    expect(Buffer.from(first._unsafeUnwrap()).toString()).toContain('{"trainer":"t","version":3}');
    expect(second._unsafeUnwrapErr()).toMatchObject({ run: 'not-run', retryAfterMs: 1_000 });
  });
});
