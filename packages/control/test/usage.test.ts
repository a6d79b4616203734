import type { IncarnationId, RecordId } from '@hibiscushill/base';
import { afterEach, describe, expect, it } from 'vitest';

import { USAGE_KINDS, UsageLedger, UsageWindows } from '../src';
import { createRecord } from './duty-harness';
import { GRACE_MS, UsageBench, WINDOW_MS, findTwoFigures, held } from './usage-harness';

const AGENT = 'agent.1' as IncarnationId;

let bench = new UsageBench();

afterEach(async () => {
  await bench.stop();
});

async function startPair() {
  bench = new UsageBench();
  const first = bench.join('a');
  await bench.duty.passUntil(() => bench.duty.holders().includes('a'));
  const second = bench.join('b');
  await bench.pass(1_000);
  return { first, second };
}

describe('usage', () => {
  it('counts a request once that both the entry and the agent hold', async () => {
    const { first, second } = await startPair();
    const acks: number[] = [];
    second.ledger.onAck((_agent, through) => acks.push(through));
    const items = [1, 2, 3].map((number) => bench.item(number));
    items.forEach((item) => first.ledger.add(item));
    const batch = items.map((item, index) => held(index + 1, item));
    first.ledger.takeBatch(AGENT, batch);
    second.ledger.takeBatch(AGENT, batch);
    await bench.pass(WINDOW_MS + GRACE_MS + 5_000);
    expect(bench.reports.total()).toBe(3);
    expect(acks.at(-1)).toBe(3);
  });

  it('loses nothing when the entry that ran the requests dies before it logged them', async () => {
    const { first, second } = await startPair();
    const item = bench.item(1);
    first.ledger.add(item);
    bench.kill(first);
    second.ledger.takeBatch(AGENT, [held(1, item)]);
    await bench.pass(WINDOW_MS + GRACE_MS + 30_000);
    expect(bench.reports.total()).toBe(1);
  });

  it('loses nothing when the agent dies', async () => {
    const { first } = await startPair();
    first.ledger.add(bench.item(1));
    await bench.pass(WINDOW_MS + GRACE_MS + 5_000);
    expect(bench.reports.total()).toBe(1);
  });

  it('counts a batch once when its answers are lost', async () => {
    const { first } = await startPair();
    bench.duty.log.setFaults({ loseAnswers: 0.9 });
    for (let number = 0; number < 12; number += 1) first.ledger.add(bench.item(number));
    await bench.pass(WINDOW_MS);
    bench.duty.log.setFaults({ loseAnswers: 0 });
    await bench.pass(WINDOW_MS + GRACE_MS + 5_000);
    expect(bench.reports.total()).toBe(12);
  });

  it('refuses an agent at its bound and leaves own items to the agent', () => {
    const { log, clock } = bench.duty;
    const ledger = new UsageLedger({ log, clock, incarnation: AGENT, pendingItems: 10 });
    for (let number = 0; number < 10; number += 1) ledger.add(bench.item(number));
    expect(ledger.takeBatch(AGENT, [held(1, bench.item(10))])).toBe(false);
    ledger.add(bench.item(11));
    expect(ledger.size).toBe(10);
  });

  it('repeats the same figures under the same id until the platform answers', async () => {
    const { first } = await startPair();
    bench.reports.setFaults({ loseAnswers: true });
    first.ledger.add(bench.item(1));
    await bench.pass(WINDOW_MS + GRACE_MS + 5_000);
    bench.kill(first);
    await bench.pass(20_000);
    const ids = new Set(bench.reports.seen.map(({ report }) => report.reportId));
    expect(ids.size).toBe(1);
    expect(findTwoFigures(bench.reports.seen)).toBeUndefined();
    expect(bench.entries[1]?.windows.unreported).toEqual([]);
  });

  it('counts a batch once that lands again when its requests are forgotten', () => {
    const windows = new UsageWindows({ windowMs: 100, repeatPeriodMs: 10 });
    const item = { request: 'q', team: 't', service: 's', requests: 1, tokens: 5, finishedAt: 0 };
    const delta = { incarnation: 'e.1', seq: 1, items: [item] };
    [0, 40].forEach((at, offset) => {
      windows.apply({ ...createRecord(offset, USAGE_KINDS.delta, delta), appendedAt: at as never });
    });
    expect(windows.close(0).figures).toMatchObject([{ requests: 1 }]);
  });

  it('acknowledges an agent only when the log has its items', async () => {
    const { first } = await startPair();
    const acks: number[] = [];
    first.ledger.onAck((_agent, through) => acks.push(through));
    bench.duty.log.setFaults({ outage: true });
    first.ledger.takeBatch(AGENT, [held(1, bench.item(1))]);
    await bench.pass(3_000);
    expect(acks).toEqual([]);
    bench.duty.log.setFaults({ outage: false });
    await bench.pass(3_000);
    expect(acks).toEqual([1]);
  });

  it('moves what comes after the close to the next open window, marked', () => {
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
    expect(windows.close(100)).toMatchInlineSnapshot(`
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

  it('goes on from a snapshot when the deltas of an open window were trimmed', async () => {
    const { first } = await startPair();
    first.ledger.add(bench.item(1));
    await bench.pass(2_000);
    const payload = first.windows.save();
    const id = 'snapshot' as RecordId;
    const stood = await bench.duty.log.append('usage', [
      { id, kind: USAGE_KINDS.snapshot, payload },
    ]);
    await bench.pass(1_000);
    bench.duty.log.trim('usage', stood._unsafeUnwrap());
    const third = bench.join('c');
    await bench.pass(1_000);
    expect(third.windows.isSettled).toBe(true);
    expect(third.windows.close(0).figures).toEqual(first.windows.close(0).figures);
    bench.kill(first);
    bench.kill(bench.entries[1]!);
    await bench.pass(WINDOW_MS + GRACE_MS + 30_000);
    expect(bench.reports.total()).toBe(1);
  });
});
