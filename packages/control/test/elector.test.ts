import { type FencingNumber, ManualClock, type MonoTime } from '@hibiscushill/base';
import { afterEach, describe, expect, it } from 'vitest';

import { Lease } from '../src';
import { DutyCluster } from './duty-harness';

const TTL_MS = 7_500;
const TAKEOVER_WAIT_MS = 9_000;

let cluster = new DutyCluster();

afterEach(async () => {
  await cluster.stop();
});

async function startPair(seed = 1) {
  cluster = new DutyCluster(seed);
  const first = cluster.addProcess('a');
  await cluster.advanceUntil(() => cluster.listHolders().includes('a'));
  const second = cluster.addProcess('b');
  await cluster.advance(1_000);
  return { first, second };
}

describe('Lease', () => {
  it('is not revived by a renewal that is read after its end', () => {
    const clock = new ManualClock();
    const lease = new Lease(7 as FencingNumber, 100 as MonoTime, clock);
    clock.advance(100);
    expect(lease.extend(200 as MonoTime)).toBe(false);
    expect(lease.covers(0)).toBe(false);
  });
});

describe('DutyElector', () => {
  it('gives the duty to one of two processes that claim at the same time', async () => {
    cluster = new DutyCluster();
    const elector = { candidates: () => [], rankStepMs: 0 };
    cluster.addProcess('a', { elector });
    cluster.addProcess('b', { elector });
    await cluster.advanceUntil(() => cluster.listHolders().length > 0);
    await cluster.advance(20_000);
    expect(cluster.listHolders()).toHaveLength(1);
    const kinds = await cluster.readRecordKinds();
    expect(kinds.filter((kind) => kind === 'duty.claim')).toHaveLength(2);
  });

  it('renews every third of the lease and no more often', async () => {
    await startPair();
    const before = (await cluster.readRecordKinds()).length;
    await cluster.advance(25_000);
    expect((await cluster.readRecordKinds()).length - before).toBe(10);
  });

  it('has no lease as soon as its process resumes after a pause longer than the lease', async () => {
    const { first } = await startPair();
    first.gate.isClosed = true;
    await cluster.advance(TTL_MS + 500);
    first.clock.resume();
    expect(cluster.listHolders()).toEqual([]);
  });

  it('claims no earlier than lease, order deadline and drift after the last renewal', async () => {
    const { first } = await startPair();
    first.gate.isClosed = true;
    const passed = await cluster.advanceUntil(() => cluster.listHolders().includes('b'));
    expect(passed).toBeGreaterThan(TAKEOVER_WAIT_MS - 2_500);
    first.clock.resume();
    await cluster.advance(5_000);
    expect(cluster.listHolders()).toEqual(['b']);
  });

  it('claims at once after a release', async () => {
    const { first } = await startPair();
    const released = first.elector.release();
    const passed = await cluster.advanceUntil(() => cluster.listHolders().includes('b'));
    await released;
    expect(passed).toBeLessThan(3_000);
  });

  it('loses the lease in an outage of the log longer than the lease, and regains it after', async () => {
    await startPair();
    cluster.log.setFaults({ outage: true });
    await cluster.advance(TTL_MS + 1_000);
    expect(cluster.listHolders()).toEqual([]);
    cluster.log.setFaults({ outage: false });
    await cluster.advanceUntil(() => cluster.listHolders().length === 1);
  });

  it('keeps the lease when the responses to its renewals are lost', async () => {
    await startPair();
    cluster.log.setFaults({ loseAnswers: 1 });
    await cluster.advance(20_000);
    expect(cluster.listHolders()).toEqual(['a']);
  });

  it('does not regain a lapsed lease from a renewal that was appended late', async () => {
    const { first } = await startPair();
    cluster.log.setFaults({ landLate: 1, landLateMs: TTL_MS + 1_000 });
    await cluster.advance(TTL_MS);
    first.log.isDisconnected = true;
    cluster.log.setFaults({ landLate: 0 });
    await cluster.advance(3_000);
    expect(cluster.listHolders()).toEqual([]);
  });

  it('rejects a claim that is appended after another process has claimed', async () => {
    cluster = new DutyCluster();
    cluster.log.setFaults({ landLate: 1, landLateMs: 5_000 });
    const late = cluster.addProcess('a');
    await cluster.advance(2_500);
    late.log.isDisconnected = true;
    cluster.log.setFaults({ landLate: 0 });
    cluster.addProcess('b');
    await cluster.advanceUntil(() => cluster.listHolders().includes('b'));
    await cluster.advance(6_000);
    expect(cluster.listHolders()).toEqual(['b']);
  });

  it('waits like any candidate when its claim was appended after its lease would have ended', async () => {
    cluster = new DutyCluster();
    cluster.log.setFaults({ landLate: 1, landLateMs: TTL_MS + 2_000 });
    cluster.addProcess('a');
    await cluster.advance(2_500);
    cluster.log.setFaults({ landLate: 0 });
    cluster.processes[0]!.log.isDisconnected = true;
    await cluster.advance(TTL_MS + 3_000);
    cluster.processes[0]!.log.isDisconnected = false;
    const passed = await cluster.advanceUntil(() => cluster.listHolders().includes('a'));
    expect(passed).toBeGreaterThan(TAKEOVER_WAIT_MS - 3_000);
  });

  it('does not claim unless it has read the stream after its wait', async () => {
    const { second } = await startPair();
    second.log.failsReads = true;
    await cluster.advance(30_000);
    second.log.failsReads = false;
    await cluster.advance(5_000);
    expect(cluster.listHolders()).toEqual(['a']);
    expect((await cluster.readRecordKinds()).filter((kind) => kind === 'duty.claim')).toHaveLength(
      1,
    );
  });

  it('claims only after the whole wait when the holder is not known from a trimmed stream', async () => {
    cluster = new DutyCluster();
    for (let i = 0; i < 10; i += 1) {
      const id = `x${i}` as never;
      await cluster.log.append('targets', [{ id, kind: 'other', payload: {} }]);
    }
    cluster.log.trim('targets', 10);
    cluster.addProcess('a');
    const passed = await cluster.advanceUntil(() => cluster.listHolders().includes('a'));
    expect(passed).toBeGreaterThanOrEqual(TAKEOVER_WAIT_MS);
  });
});
