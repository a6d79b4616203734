import { ManualClock, type TargetId, type WallTime } from '@hibiscushill/base';
import { beforeEach, describe, expect, it } from 'vitest';

import { TargetDirectory } from '../src/target-directory';
import { SERVICE, createMetrics, createTarget } from './support';

const ID = 't1' as TargetId;

let clock: ManualClock;
let directory: TargetDirectory;
let isOutage: boolean;

beforeEach(() => {
  clock = new ManualClock(1_000);
  isOutage = false;
  directory = new TargetDirectory({ clock, metrics: createMetrics() });
  directory.setOutageCheck(() => isOutage);
});

describe('the target directory', () => {
  it('does not list a target as usable once it is draining', () => {
    directory.recordRegistration(createTarget(ID));
    directory.recordRegistration(createTarget(ID, { isDraining: true, heartbeat: 2 }));
    expect(directory.listUsable(SERVICE)).toEqual([]);
    expect(directory.listAll(SERVICE)).toHaveLength(1);
  });

  it('ignores heartbeats that arrive after newer ones', () => {
    directory.recordRegistration(createTarget(ID, { isDraining: true, heartbeat: 5 }));
    directory.recordRegistration(createTarget(ID, { heartbeat: 4 }));
    expect(directory.listUsable(SERVICE)).toEqual([]);
  });

  it('accepts a restart under the same id, whose heartbeat numbers start over', () => {
    directory.recordRegistration(createTarget(ID, { isDraining: true, heartbeat: 50 }));
    directory.recordRegistration(createTarget(ID, { startedAt: 2 as WallTime, heartbeat: 1 }));
    expect(directory.listUsable(SERVICE)).toHaveLength(1);
    directory.recordRegistration(createTarget(ID, { isDraining: true, heartbeat: 51 }));
    expect(directory.listUsable(SERVICE)).toHaveLength(1);
  });

  it('removes a target at once when its registration is removed', () => {
    directory.recordRegistration(createTarget(ID));
    directory.remove(ID);
    expect(directory.find(ID)).toBeUndefined();
  });

  it('keeps a target whose registration expired in an outage until it should be registered again', () => {
    directory.recordRegistration(createTarget(ID));
    isOutage = true;
    directory.remove(ID);
    clock.advance(1_700);
    expect(directory.find(ID)).toBeDefined();
    clock.advance(200);
    expect(directory.find(ID)).toBeUndefined();
  });

  it('removes a draining target even in an outage', () => {
    directory.recordRegistration(createTarget(ID, { isDraining: true }));
    isOutage = true;
    directory.remove(ID);
    expect(directory.find(ID)).toBeUndefined();
  });

  it('removes the targets that a complete list does not name', () => {
    directory.recordRegistration(createTarget(ID));
    directory.recordRegistration(createTarget('t2'));
    directory.keepOnly(new Set([ID]));
    expect(directory.listAll(SERVICE).map((entry) => entry.id)).toEqual([ID]);
  });
});
