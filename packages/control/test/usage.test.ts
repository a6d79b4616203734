import type { IncarnationId, RecordId } from '@hibiscushill/base';
import { afterEach, describe, expect, it } from 'vitest';

import { USAGE_KINDS, UsageBatcher, UsageWindows } from '../src';
import { createRecord } from './duty-harness';
import {
  GRACE_MS,
  UsageCluster,
  WINDOW_MS,
  findConflictingWindow,
  createAgentItem,
} from './usage-harness';

const AGENT = 'agent.1' as IncarnationId;

let cluster = new UsageCluster();

afterEach(async () => {
  await cluster.stop();
});

async function startPair() {
  cluster = new UsageCluster();
  const first = cluster.addEntry('a');
  await cluster.dutyCluster.advanceUntil(() => cluster.dutyCluster.listHolders().includes('a'));
  const second = cluster.addEntry('b');
  await cluster.advance(1_000);
  return { first, second };
}

describe('usage', () => {
  it('counts a request once when both its entry and its agent log it', async () => {
    const { first, second } = await startPair();
    const acks: number[] = [];
    second.batcher.onAck((_agent, through) => acks.push(through));
    const items = [1, 2, 3].map((number) => cluster.createItem(number));
    items.forEach((item) => first.batcher.add(item));
    const batch = items.map((item, index) => createAgentItem(index + 1, item));
    first.batcher.addAgentBatch(AGENT, batch);
    second.batcher.addAgentBatch(AGENT, batch);
    await cluster.advance(WINDOW_MS + GRACE_MS + 5_000);
    expect(cluster.reports.countRequests()).toBe(3);
    expect(acks.at(-1)).toBe(3);
  });

  it('loses nothing when the entry that ran a request is killed before it logged the usage', async () => {
    const { first, second } = await startPair();
    const item = cluster.createItem(1);
    first.batcher.add(item);
    cluster.kill(first);
    second.batcher.addAgentBatch(AGENT, [createAgentItem(1, item)]);
    await cluster.advance(WINDOW_MS + GRACE_MS + 30_000);
    expect(cluster.reports.countRequests()).toBe(1);
  });

  it('loses nothing when the agent sends no batch', async () => {
    const { first } = await startPair();
    first.batcher.add(cluster.createItem(1));
    await cluster.advance(WINDOW_MS + GRACE_MS + 5_000);
    expect(cluster.reports.countRequests()).toBe(1);
  });

  it('counts a batch once when the responses to its appends are lost', async () => {
    const { first } = await startPair();
    cluster.dutyCluster.log.setFaults({ loseAnswers: 0.9 });
    for (let number = 0; number < 12; number += 1) first.batcher.add(cluster.createItem(number));
    await cluster.advance(WINDOW_MS);
    cluster.dutyCluster.log.setFaults({ loseAnswers: 0 });
    await cluster.advance(WINDOW_MS + GRACE_MS + 5_000);
    expect(cluster.reports.countRequests()).toBe(12);
  });

  it('refuses batches and drops own items when the memory bound is reached', () => {
    const { log, clock } = cluster.dutyCluster;
    const batcher = new UsageBatcher({ log, clock, incarnation: AGENT, maxPendingItems: 10 });
    for (let number = 0; number < 10; number += 1) batcher.add(cluster.createItem(number));
    expect(batcher.addAgentBatch(AGENT, [createAgentItem(1, cluster.createItem(10))])).toBe(false);
    batcher.add(cluster.createItem(11));
    expect(batcher.pendingCount).toBe(10);
  });

  it('repeats a report with the same figures and id until the platform responds', async () => {
    const { first } = await startPair();
    cluster.reports.setFaults({ loseAnswers: true });
    first.batcher.add(cluster.createItem(1));
    await cluster.advance(WINDOW_MS + GRACE_MS + 5_000);
    cluster.kill(first);
    await cluster.advance(20_000);
    const ids = new Set(cluster.reports.received.map(({ report }) => report.reportId));
    expect(ids.size).toBe(1);
    expect(findConflictingWindow(cluster.reports.received)).toBeUndefined();
    expect(cluster.entries[1]?.windows.unreported).toEqual([]);
  });

  it('counts a batch once when it is appended again after its requests were forgotten', () => {
    const windows = new UsageWindows({ windowMs: 100, deduplicationPeriodMs: 10 });
    const item = { request: 'q', team: 't', service: 's', requests: 1, tokens: 5, finishedAt: 0 };
    const delta = { incarnation: 'e.1', seq: 1, items: [item] };
    [0, 40].forEach((at, offset) => {
      windows.apply({ ...createRecord(offset, USAGE_KINDS.delta, delta), appendedAt: at as never });
    });
    expect(windows.computeFigures(0).figures).toMatchObject([{ requests: 1 }]);
  });

  it('acknowledges an agent only when the log has its items', async () => {
    const { first } = await startPair();
    const acks: number[] = [];
    first.batcher.onAck((_agent, through) => acks.push(through));
    cluster.dutyCluster.log.setFaults({ outage: true });
    first.batcher.addAgentBatch(AGENT, [createAgentItem(1, cluster.createItem(1))]);
    await cluster.advance(3_000);
    expect(acks).toEqual([]);
    cluster.dutyCluster.log.setFaults({ outage: false });
    await cluster.advance(3_000);
    expect(acks).toEqual([1]);
  });

  it('counts what comes after the close as late in the next open window', () => {
    const windows = new UsageWindows({ windowMs: 100 });
    const figure = { team: 't', service: 's', requests: 1, tokens: 5 };
    const delta = (seq: number, request: string) => ({
      incarnation: 'e.1',
      seq,
      items: [{ ...figure, request, finishedAt: 10 }],
    });
    const author = { duty: 'usage', holder: 'e', incarnation: 'e.1' };
    const close = { window: 0, claim: 0, through: 2, figures: [figure], late: [] };
    [
      createRecord(0, 'duty.claim', { ...author, after: -1, through: 0 }),
      createRecord(1, USAGE_KINDS.delta, delta(1, 'in')),
      createRecord(2, USAGE_KINDS.delta, delta(2, 'between')),
      createRecord(3, USAGE_KINDS.close, close),
      createRecord(4, USAGE_KINDS.close, { ...close, through: 3, figures: [] }),
      createRecord(5, USAGE_KINDS.delta, delta(3, 'after')),
    ].forEach((record) => windows.apply(record));
    expect(windows.unreported).toMatchObject([{ window: 0, figures: [{ requests: 1 }] }]);
    expect(windows.computeFigures(100)).toMatchInlineSnapshot(`
      {
        "figures": [
          {
            "requests": 2,
            "service": "s",
            "team": "t",
            "tokens": 10,
          },
        ],
        "late": [
          {
            "requests": 2,
            "service": "s",
            "team": "t",
            "tokens": 10,
          },
        ],
        "through": 6,
        "window": 100,
      }
    `);
  });

  it('ignores the close of a superseded claim', () => {
    const windows = new UsageWindows({ windowMs: 100 });
    const author = { duty: 'usage', holder: 'e', incarnation: 'e.1' };
    const close = { window: 0, claim: 0, through: 2, figures: [], late: [] };
    [
      createRecord(0, 'duty.claim', { ...author, after: -1, through: 0 }),
      createRecord(1, 'duty.claim', { ...author, after: 0, through: 1 }),
      createRecord(2, USAGE_KINDS.close, close),
    ].forEach((record) => windows.apply(record));
    expect(windows.unreported).toEqual([]);
  });

  it('continues from a snapshot when the batches of an open window were trimmed', async () => {
    const { first } = await startPair();
    first.batcher.add(cluster.createItem(1));
    await cluster.advance(2_000);
    const payload = first.windows.createSnapshot();
    const id = 'snapshot' as RecordId;
    const appended = await cluster.dutyCluster.log.append('usage', [
      { id, kind: USAGE_KINDS.snapshot, payload },
    ]);
    await cluster.advance(1_000);
    cluster.dutyCluster.log.trim('usage', appended._unsafeUnwrap());
    const third = cluster.addEntry('c');
    await cluster.advance(1_000);
    expect(third.windows.isComplete).toBe(true);
    expect(third.windows.computeFigures(0).figures).toEqual(
      first.windows.computeFigures(0).figures,
    );
    cluster.kill(first);
    cluster.kill(cluster.entries[1]!);
    await cluster.advance(WINDOW_MS + GRACE_MS + 30_000);
    expect(cluster.reports.countRequests()).toBe(1);
  });
});
