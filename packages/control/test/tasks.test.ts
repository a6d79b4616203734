import { type IncarnationId, type InstanceId, ManualClock, type ZoneId } from '@hibiscushill/base';
import { MemoryLog, type ZoneTargets } from '@hibiscushill/log';
import { isSome } from 'fp-ts/Option';
import { errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { ControlTasks } from '../src';
import { runPendingTasks } from './duty-harness';
import { FakeUsageReports, UsageCluster } from './usage-harness';

const EMPTY: ZoneTargets = { targets: [], highestFencing: 0, orders: [] };

describe('ControlTasks', () => {
  it('holds every duty, reports usage, and releases the duties when it stops', async () => {
    const clock = new ManualClock();
    const log = new MemoryLog({ clock });
    const reports = new FakeUsageReports();
    const candidates = () => ['a', 'b'] as InstanceId[];
    const pass = async (ms: number) => {
      for (let passed = 0; passed < ms; passed += 100) {
        clock.advance(100);
        await runPendingTasks();
      }
    };
    const [first, second] = candidates().map((holder) => {
      const tasks = new ControlTasks({
        log,
        clock,
        holder,
        incarnation: `${holder}.1` as IncarnationId,
        candidates,
        zones: ['ba', 'nadi'] as ZoneId[],
        services: () => [],
        orders: { readZone: () => okAsync(EMPTY), order: () => errAsync({} as never) },
        reports,
        countRequests: () => 0,
        windowMs: 10_000,
        graceMs: 1_000,
      });
      tasks.start();
      return tasks;
    });
    const countHeld = (tasks?: ControlTasks) =>
      tasks?.electors.filter((elector) => isSome(elector.lease)).length ?? 0;
    await pass(3_000);
    expect(countHeld(first) + countHeld(second)).toBe(3);
    first?.usageBatcher.add(new UsageCluster().createItem(1));
    const left = first?.stop();
    await pass(3_000);
    expect([await left, countHeld(second)]).toEqual([0, 3]);
    await pass(15_000);
    expect(reports.countRequests()).toBe(1);
    const stopped = second?.stop();
    await pass(4_000);
    await stopped;
  });
});
