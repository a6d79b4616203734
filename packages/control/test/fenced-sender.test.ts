import type { FencingNumber, ServiceId, ZoneId } from '@hibiscushill/base';
import { TargetOrders } from '@hibiscushill/log';
import http from 'node:http';
import net from 'node:net';
import { Worker } from 'node:worker_threads';
import { isSome } from 'fp-ts/Option';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { FencedSender } from '../src';
import { DutyCluster } from './duty-harness';

const ZONE = 'ba' as ZoneId;
const BLOCK_MS = 400;

// A server in another thread, which receives requests while the thread of the test is blocked.
const SERVER = `
  const { parentPort, workerData } = require('node:worker_threads');
  const count = new Int32Array(workerData);
  const server = require('node:http').createServer((req, res) => {
    if (req.method === 'POST') { Atomics.add(count, 0, 1); Atomics.notify(count, 0); }
    if (req.url.includes('silent')) return;
    const targets = { targets: [], highestFencing: 0, orders: [] };
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(req.method === 'POST' ? { orderId: 'o' } : targets));
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

let worker: Worker;
let port = 0;
let count: Int32Array;

beforeEach(async () => {
  const memory = new SharedArrayBuffer(4);
  count = new Int32Array(memory);
  worker = new Worker(SERVER, { eval: true, workerData: memory });
  port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
});

afterEach(async () => {
  await worker.terminate();
});

/**
 * Blocks this thread when the current tick ends, as a pause of the process would. Returns a
 * function that tells how many orders the server had received by the end of the block.
 */
function blockAfterThisTick(): () => number {
  let received = -1;
  queueMicrotask(() => {
    Atomics.wait(count, 0, 0, BLOCK_MS);
    received = Atomics.load(count, 0);
  });
  return () => received;
}

function createOrder() {
  const service = 'desk' as ServiceId;
  return { orderId: 'o', fencing: 1 as FencingNumber, service, action: 'start' as const };
}

describe('an order', () => {
  it("leaves the process in the tick of the check when the platform's client sends it", async () => {
    const orders = new TargetOrders({ url: `http://127.0.0.1:${port}` });
    let received = () => -1;
    const mayWrite = () => {
      received = blockAfterThisTick();
      return true;
    };
    const result = await orders.order(ZONE, createOrder(), { deadlineMs: 2_000, mayWrite });
    expect([result.isOk(), received()]).toEqual([true, 1]);
    await orders.close();
  });

  it('leaves the process in the tick of the check as a plain request on a connected socket', async () => {
    const socket = net.connect(port, '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    const req = http.request({ method: 'POST', createConnection: () => socket });
    await new Promise((resolve) => {
      req.once('socket', resolve);
    });
    const received = blockAfterThisTick();
    req.end('{}');
    await new Promise((resolve) => {
      req.once('response', resolve);
    });
    expect(received()).toBe(1);
    socket.destroy();
  });

  it('does not leave the process in that tick when the client connects after the check', async () => {
    const req = http.request({ method: 'POST', host: '127.0.0.1', port });
    const received = blockAfterThisTick();
    req.end('{}');
    await new Promise((resolve) => {
      req.once('response', resolve);
    });
    expect(received()).toBe(0);
    req.destroy();
  });
});

describe('FencedSender', () => {
  it('sends under the lease, ends an order at its deadline, and closes before a release', async () => {
    const cluster = new DutyCluster();
    const { elector } = cluster.addProcess('a');
    await cluster.advanceUntil(() => isSome(elector.lease));
    const orders = new TargetOrders({ url: `http://127.0.0.1:${port}` });
    const sender = new FencedSender({ elector, deadlineMs: 200 });
    const send = (zone: string) =>
      sender.send((fencing, guard) =>
        orders.order(zone as ZoneId, { ...createOrder(), fencing }, guard),
      );
    expect((await send('ba')).isOk()).toBe(true);
    const unanswered = (await send('silent'))._unsafeUnwrapErr();
    expect([unanswered.code, unanswered.run]).toEqual(['platform_down', 'may-have-run']);
    await cluster.stop();
    expect((await send('ba'))._unsafeUnwrapErr().code).toBe('lease_short');
    expect(Atomics.load(count, 0)).toBe(2);
    await orders.close();
  });

  it('does not write when the lease ended while the connection was opened', async () => {
    const cluster = new DutyCluster();
    const { elector, clock, log } = cluster.addProcess('a');
    await cluster.advanceUntil(() => isSome(elector.lease));
    const orders = new TargetOrders({ url: `http://127.0.0.1:${port}` });
    const sender = new FencedSender({ elector });
    const sent = sender.send((fencing, guard) =>
      orders.order(ZONE, { ...createOrder(), fencing }, guard),
    );
    log.disconnect();
    clock.advance(7_000);
    expect((await sent)._unsafeUnwrapErr().code).toBe('lease_short');
    expect(Atomics.load(count, 0)).toBe(0);
    await orders.close();
    await cluster.stop();
  });
});
