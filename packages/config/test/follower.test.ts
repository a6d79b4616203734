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
import { change, record, sample, snapshot } from './samples';

const clock = new SystemClock();
const followers: ConfigFollower[] = [];

afterEach(async () => {
  await Promise.all(followers.splice(0).map((follower) => follower.stop()));
});

function follow(log: MemoryLog, options: { retentionMs?: number; spreadMs?: number } = {}) {
  const store = new ConfigStore({ clock });
  const follower = new ConfigFollower({ log, store, clock, waitMs: 20, ...options });
  followers.push(follower);
  follower.start();
  return store;
}

async function append(log: MemoryLog, base: number, tag: number): Promise<void> {
  const payload = { base, declarations: sample(tag) };
  await log.append('config', [{ id: createId<RecordId>(), kind: 'config.change', payload }]);
}

async function until(isMet: () => boolean): Promise<void> {
  await vi.waitFor(() => expect(isMet()).toBe(true), { timeout: 20_000, interval: 5 });
}

describe('ConfigFollower', () => {
  it('brings changes to the store and confirms its version', async () => {
    const log = new MemoryLog({ clock });
    const store = follow(log);
    await append(log, -1, 1);
    await append(log, 0, 2);
    await until(() => store.version === 1 && store.isFresh(10_000));
  });

  it('does not take a trimmed log without a snapshot for an empty configuration', async () => {
    const log = new MemoryLog({ clock });
    await append(log, -1, 1);
    log.trim('config', 1);
    const store = follow(log);
    await until(() => !store.isAttached);
    await append(log, -1, 2);
    await until(() => store.position === 1);
    expect([store.version, store.isFresh(10_000)]).toEqual([-1, false]);
  });

  it('reads the whole log when its latest part holds no snapshot', async () => {
    const log = new MemoryLog({ clock });
    await append(log, -1, 1);
    const noise = Array.from({ length: 300 }, () => ({
      id: createId<RecordId>(),
      kind: 'config.change',
      payload: { base: -1, declarations: null },
    }));
    await log.append('config', noise);
    const store = follow(log);
    await until(() => store.version === 0);
  });

  it('renews the snapshot, so that a later process starts from a trimmed log', async () => {
    const log = new MemoryLog({ clock });
    const store = follow(log, { retentionMs: 100, spreadMs: 50 });
    await append(log, -1, 1);
    await append(log, 0, 2);
    await until(() => store.position > 1);
    log.trim('config', 2);
    const newcomer = follow(log);
    await until(() => newcomer.version === 1);
    expect(newcomer.state?.declarations).toEqual(store.state?.declarations);
  });

  it('goes on by itself after an outage', async () => {
    const log = new MemoryLog({ clock });
    log.setFaults({ outage: true });
    const store = follow(log);
    log.setFaults({ outage: false });
    await append(log, -1, 1);
    await until(() => store.version === 0);
  });
});

describe('SnapshotRenewal', () => {
  function create(): { renewal: SnapshotRenewal; manual: ManualClock; isTime: () => boolean } {
    const manual = new ManualClock(0);
    const renewal = new SnapshotRenewal({
      retentionMs: 10_000,
      spreadMs: 1_000,
      delay: new UniformDelay(),
      random: new RandomSource(1),
    });
    return { renewal, manual, isTime: () => renewal.isTime(manual.mono(), manual.wall()) };
  }

  it('is due at half the retention of the first record after the snapshot', () => {
    const { renewal, manual, isTime } = create();
    renewal.readFrom(0 as never);
    renewal.note(change(0, -1));
    expect(isTime()).toBe(false);
    manual.advance(5_001);
    expect(isTime()).toBe(false);
    manual.advance(1_000);
    expect([isTime(), isTime()]).toEqual([true, false]);
  });

  it('leaves it to another process whose snapshot was read in the meantime', () => {
    const { renewal, manual, isTime } = create();
    renewal.readFrom(0 as never);
    renewal.note(change(0, -1));
    manual.advance(5_001);
    isTime();
    renewal.note(snapshot(6, 0, 5, sample()));
    manual.advance(1_000);
    expect(isTime()).toBe(false);
  });

  it('is due when it has not read what the log starts from', () => {
    const { renewal, manual, isTime } = create();
    renewal.readFrom(9 as never);
    renewal.note(record(9, 'other', null));
    isTime();
    manual.advance(1_000);
    expect(isTime()).toBe(true);
  });
});
