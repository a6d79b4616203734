import { type IncarnationId, type InstanceId, ManualClock, RandomSource } from '@hibiscushill/base';
import { MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { UsageBatcher } from '../src';
import { DutyCluster, runPendingTasks } from './duty-harness';
import { UsageCluster, WINDOW_MS, GRACE_MS } from './usage-harness';

const FAILOVERS = 100;

async function measureFailovers(end: 'pause' | 'release' | 'disconnect') {
  const random = new RandomSource(9);
  const times: number[] = [];
  for (let run = 0; run < FAILOVERS; run += 1) {
    const cluster = new DutyCluster(run);
    const candidates = () => ['a', 'b', 'c'] as InstanceId[];
    candidates().forEach((name) => cluster.addProcess(name, { elector: { candidates } }));
    await cluster.advanceUntil(() => cluster.listHolders().length === 1);
    await cluster.advance(5_000 + random.int(0, 50) * 50);
    const [holder] = cluster.listHolders();
    const process = cluster.processes.find(({ name }) => name === holder);
    if (end === 'pause') process?.gate.close();
    if (end === 'disconnect') process?.log.disconnect();
    if (end === 'release') void process?.elector.release();
    times.push(
      await cluster.advanceUntil(() => cluster.listHolders().some((name) => name !== holder)),
    );
    await cluster.stop();
  }
  times.sort((a, b) => a - b);
  const at = (fraction: number) => times[Math.floor(fraction * (times.length - 1))];
  return `least ${at(0)} ms, median ${at(0.5)} ms, 95 % ${at(0.95)} ms, most ${at(1)} ms`;
}

async function measureRenewals(electors: number) {
  const cluster = new DutyCluster();
  for (let index = 0; index < electors; index += 1) {
    cluster.addProcess(`p${index}`, { elector: { duty: `targets/z${index}` } });
  }
  await cluster.advance(5_000);
  const before = (await cluster.readRecordKinds()).length;
  await cluster.advance(100_000, 500);
  const appends = (await cluster.readRecordKinds()).length - before;
  await cluster.stop();
  return appends / 100;
}

async function measureBatches(entries: number, itemsPerSecond: number) {
  const clock = new ManualClock();
  let appends = 0;
  const onAppend = () => {
    appends += 1;
  };
  const log = new MemoryLog({ clock, random: new RandomSource(1), onAppend });
  const batchers = Array.from({ length: entries }, (_, index) => {
    const incarnation = `e${index}.1` as IncarnationId;
    return new UsageBatcher({ log, clock, incarnation, random: new RandomSource(index) });
  });
  batchers.forEach((batcher) => batcher.start());
  const source = new UsageCluster();
  for (let step = 0; step < 1_000; step += 1) {
    for (let count = 0; count < itemsPerSecond / 10; count += 1) {
      batchers[count % entries]?.add(source.createItem(step * itemsPerSecond + count));
    }
    clock.advance(100);
    await runPendingTasks();
  }
  return appends / 100;
}

async function measureWindows() {
  const cluster = new UsageCluster();
  const { batcher } = cluster.addEntry('a');
  await cluster.advance(2_000);
  for (let window = 0; window < 10; window += 1) {
    batcher.add(cluster.createItem(window));
    await cluster.advance(WINDOW_MS);
  }
  await cluster.advance(GRACE_MS + 5_000);
  const page = (await cluster.dutyCluster.log.read('usage', 0 as never))._unsafeUnwrap();
  const count = (kind: string) => page.records.filter((record) => record.kind === kind).length;
  const kinds = ['usage.close', 'usage.reported', 'usage.snapshot'].map(count);
  await cluster.stop();
  return { windows: 10, closes: kinds[0], reported: kinds[1], snapshots: kinds[2] };
}

describe('the cost of duties and usage', () => {
  it('includes a takeover within the wait, and at once after a release', async () => {
    expect({
      paused: await measureFailovers('pause'),
      disconnected: await measureFailovers('disconnect'),
      released: await measureFailovers('release'),
    }).toMatchInlineSnapshot(`
      {
        "disconnected": "least 6850 ms, median 8100 ms, 95 % 9150 ms, most 9250 ms",
        "paused": "least 6850 ms, median 8100 ms, 95 % 9150 ms, most 9250 ms",
        "released": "least 300 ms, median 300 ms, 95 % 300 ms, most 300 ms",
      }
    `);
  });

  it('includes appends per duty, per entry and per item', async () => {
    expect({
      renewalsPerSecond: [
        await measureRenewals(1),
        await measureRenewals(4),
        await measureRenewals(10),
      ],
      deltasPerSecondByEntries: [
        await measureBatches(1, 100),
        await measureBatches(4, 100),
        await measureBatches(8, 100),
      ],
      deltasPerSecondByItems: [
        await measureBatches(2, 50),
        await measureBatches(2, 200),
        await measureBatches(2, 400),
      ],
      windows: await measureWindows(),
    }).toMatchInlineSnapshot(`
      {
        "deltasPerSecondByEntries": [
          0.2,
          0.8,
          1.6,
        ],
        "deltasPerSecondByItems": [
          0.4,
          0.4,
          0.8,
        ],
        "renewalsPerSecond": [
          0.4,
          1.6,
          4,
        ],
        "windows": {
          "closes": 10,
          "reported": 10,
          "snapshots": 1,
          "windows": 10,
        },
      }
    `);
  });
});
