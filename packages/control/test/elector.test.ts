import { type FencingNumber, ManualClock, type MonoTime } from '@hibiscushill/base';
import { afterEach, describe, expect, it } from 'vitest';

import { Lease } from '../src';
import { DutyBench } from './duty-harness';

const TTL_MS = 7_500;
const PATIENCE_MS = 9_000;

let bench = new DutyBench();

afterEach(async () => {
  await bench.stop();
});

async function startPair(seed = 1) {
  bench = new DutyBench(seed);
  const first = bench.join('a');
  await bench.passUntil(() => bench.holders().includes('a'));
  const second = bench.join('b');
  await bench.pass(1_000);
  return { first, second };
}

describe('Lease', () => {
  it('stays lapsed when a renewal is read after its end', () => {
    const clock = new ManualClock();
    const lease = new Lease(7 as FencingNumber, 100 as MonoTime, clock);
    clock.advance(100);
    expect(lease.extend(200 as MonoTime)).toBe(false);
    expect(lease.covers(0)).toBe(false);
  });
});

describe('DutyKeeper', () => {
  it('gives the duty to one of two processes that claim at the same time', async () => {
    bench = new DutyBench();
    const keeper = { candidates: () => [], rankStepMs: 0 };
    bench.join('a', { keeper });
    bench.join('b', { keeper });
    await bench.passUntil(() => bench.holders().length > 0);
    await bench.pass(20_000);
    expect(bench.holders()).toHaveLength(1);
    const kinds = await bench.kinds();
    expect(kinds.filter((kind) => kind === 'duty.claim')).toHaveLength(2);
  });

  it('renews at a third of the lease and no more often', async () => {
    await startPair();
    const before = (await bench.kinds()).length;
    await bench.pass(25_000);
    expect((await bench.kinds()).length - before).toBe(10);
  });

  it('loses the lease when its process was stopped past the end, before anything else', async () => {
    const { first } = await startPair();
    first.gate.isShut = true;
    await bench.pass(TTL_MS + 500);
    first.clock.wake();
    expect(bench.holders()).toEqual([]);
  });

  it('lets a successor claim no earlier than lease, order deadline and drift after the end', async () => {
    const { first } = await startPair();
    first.gate.isShut = true;
    const passed = await bench.passUntil(() => bench.holders().includes('b'));
    expect(passed).toBeGreaterThan(PATIENCE_MS - 2_500);
    first.clock.wake();
    await bench.pass(5_000);
    expect(bench.holders()).toEqual(['b']);
  });

  it('lets a successor claim at once after a release', async () => {
    const { first } = await startPair();
    const released = first.keeper.release();
    const passed = await bench.passUntil(() => bench.holders().includes('b'));
    await released;
    expect(passed).toBeLessThan(3_000);
  });

  it('has no lease during an outage of the log that is longer than the lease, and then again', async () => {
    await startPair();
    bench.log.setFaults({ outage: true });
    await bench.pass(TTL_MS + 1_000);
    expect(bench.holders()).toEqual([]);
    bench.log.setFaults({ outage: false });
    await bench.passUntil(() => bench.holders().length === 1);
  });

  it('keeps the lease when the answers to its renewals are lost', async () => {
    await startPair();
    bench.log.setFaults({ loseAnswers: 1 });
    await bench.pass(20_000);
    expect(bench.holders()).toEqual(['a']);
  });

  it('does not get a lapsed lease back from a renewal that landed late', async () => {
    const { first } = await startPair();
    bench.log.setFaults({ landLate: 1, landLateMs: TTL_MS + 1_000 });
    await bench.pass(TTL_MS);
    first.log.isCut = true;
    bench.log.setFaults({ landLate: 0 });
    await bench.pass(3_000);
    expect(bench.holders()).toEqual([]);
  });

  it('voids a claim that lands after a successor has claimed', async () => {
    bench = new DutyBench();
    bench.log.setFaults({ landLate: 1, landLateMs: 5_000 });
    const late = bench.join('a');
    await bench.pass(2_500);
    late.log.isCut = true;
    bench.log.setFaults({ landLate: 0 });
    bench.join('b');
    await bench.passUntil(() => bench.holders().includes('b'));
    await bench.pass(6_000);
    expect(bench.holders()).toEqual(['b']);
  });

  it('waits like any challenger when its own claim landed after its lease would have ended', async () => {
    bench = new DutyBench();
    bench.log.setFaults({ landLate: 1, landLateMs: TTL_MS + 2_000 });
    bench.join('a');
    await bench.pass(2_500);
    bench.log.setFaults({ landLate: 0 });
    bench.members[0]!.log.isCut = true;
    await bench.pass(TTL_MS + 3_000);
    bench.members[0]!.log.isCut = false;
    const passed = await bench.passUntil(() => bench.holders().includes('a'));
    expect(passed).toBeGreaterThan(PATIENCE_MS - 3_000);
  });

  it('does not claim on a view that is older than its wait', async () => {
    const { second } = await startPair();
    second.log.isBlind = true;
    await bench.pass(30_000);
    second.log.isBlind = false;
    await bench.pass(5_000);
    expect(bench.holders()).toEqual(['a']);
    expect((await bench.kinds()).filter((kind) => kind === 'duty.claim')).toHaveLength(1);
  });

  it('claims on a trimmed stream that tells nothing only after the whole wait', async () => {
    bench = new DutyBench();
    for (let i = 0; i < 10; i += 1) {
      const id = `x${i}` as never;
      await bench.log.append('targets', [{ id, kind: 'other', payload: {} }]);
    }
    bench.log.trim('targets', 10);
    bench.join('a');
    const passed = await bench.passUntil(() => bench.holders().includes('a'));
    expect(passed).toBeGreaterThanOrEqual(PATIENCE_MS);
  });
});
