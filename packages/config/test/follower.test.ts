import {
  ManualClock,
  type RecordId,
  RandomSource,
  SystemClock,
  createId,
} from '@hibiscushill/base';
import { MemoryLog } from '@hibiscushill/log';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { ConfigFollower, ConfigStore, SnapshotRenewal, UniformDelay } from '../src';
import { createChange, createRecord, createDeclarations, createSnapshot } from './fixtures';

const clock = new SystemClock();
const followers: ConfigFollower[] = [];

afterEach(async () => {
  await Promise.all(followers.splice(0).map((follower) => follower.stop()));
});

function startFollower(
  log: MemoryLog,
  options: { retentionMs?: number; maxRenewalDelayMs?: number } = {},
) {
  const store = new ConfigStore({ clock });
  const follower = new ConfigFollower({ log, store, clock, waitMs: 20, ...options });
  followers.push(follower);
  follower.start();
  return store;
}

async function append(log: MemoryLog, base: number, variant: number): Promise<void> {
  const payload = { base, declarations: createDeclarations(variant) };
  await log.append('config', [{ id: createId<RecordId>(), kind: 'config.change', payload }]);
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  await vi.waitFor(() => expect(isMet()).toBe(true), { timeout: 20_000, interval: 5 });
}

describe('ConfigFollower', () => {
  it('applies changes to the store and confirms its version', async () => {
    const log = new MemoryLog({ clock });
    const store = startFollower(log);
    await append(log, -1, 1);
    await append(log, 0, 2);
    await waitUntil(() => store.version === 1 && store.isFresh(10_000));
  });

  it('knows no configuration while a trimmed log has no snapshot', async () => {
    const log = new MemoryLog({ clock });
    await append(log, -1, 1);
    log.trim('config', 1);
    const store = startFollower(log);
    await waitUntil(() => !store.isAttached);
    await append(log, -1, 2);
    await waitUntil(() => store.position === 1);
    expect([store.version, store.isFresh(10_000)]).toEqual([-1, false]);
  });

  it('reads the whole stream when its newest records hold no snapshot', async () => {
    const log = new MemoryLog({ clock });
    await append(log, -1, 1);
    const otherRecords = Array.from({ length: 300 }, () => ({
      id: createId<RecordId>(),
      kind: 'config.change',
      payload: { base: -1, declarations: null },
    }));
    await log.append('config', otherRecords);
    const store = startFollower(log);
    await waitUntil(() => store.version === 0);
  });

  it('renews the snapshot, so that a later process can start from a trimmed log', async () => {
    const log = new MemoryLog({ clock });
    const store = startFollower(log, { retentionMs: 100, maxRenewalDelayMs: 50 });
    await append(log, -1, 1);
    await append(log, 0, 2);
    await waitUntil(() => store.position > 1);
    log.trim('config', 2);
    const laterStore = startFollower(log);
    await waitUntil(() => laterStore.version === 1);
    expect(laterStore.state?.declarations).toEqual(store.state?.declarations);
  });

  it('continues after an outage', async () => {
    const log = new MemoryLog({ clock });
    log.setFaults({ outage: true });
    const store = startFollower(log);
    log.setFaults({ outage: false });
    await append(log, -1, 1);
    await waitUntil(() => store.version === 0);
  });
});

describe('SnapshotRenewal', () => {
  function setUp(): { renewal: SnapshotRenewal; manual: ManualClock; isDue: () => boolean } {
    const manual = new ManualClock(0);
    const renewal = new SnapshotRenewal({
      retentionMs: 10_000,
      maxDelayMs: 1_000,
      delayPolicy: new UniformDelay(),
      random: new RandomSource(1),
    });
    return { renewal, manual, isDue: () => renewal.shouldWrite(manual.mono(), manual.wall()) };
  }

  it('is due at half the retention of the first record after the snapshot', () => {
    const { renewal, manual, isDue } = setUp();
    renewal.seek(0 as never);
    renewal.observe(createChange(0, -1));
    expect(isDue()).toBe(false);
    manual.advance(5_001);
    expect(isDue()).toBe(false);
    manual.advance(1_000);
    expect([isDue(), isDue()]).toEqual([true, false]);
  });

  it('is no longer due once the snapshot of another process was read', () => {
    const { renewal, manual, isDue } = setUp();
    renewal.seek(0 as never);
    renewal.observe(createChange(0, -1));
    manual.advance(5_001);
    isDue();
    renewal.observe(createSnapshot(6, 0, 5, createDeclarations()));
    manual.advance(1_000);
    expect(isDue()).toBe(false);
  });

  it('is due when neither the first record of the log nor a snapshot was read', () => {
    const { renewal, manual, isDue } = setUp();
    renewal.seek(9 as never);
    renewal.observe(createRecord(9, 'other', null));
    isDue();
    manual.advance(1_000);
    expect(isDue()).toBe(true);
  });
});
