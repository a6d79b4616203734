import { type IncarnationId, type InstanceId, ManualClock, RandomSource } from '@hibiscushill/base';
import { MemoryLog } from '@hibiscushill/log';
import { describe, expect, it } from 'vitest';

import { UsageLedger } from '../src';
import { DutyBench, settle } from './duty-harness';
import { UsageBench, WINDOW_MS, GRACE_MS } from './usage-harness';

const FAILOVERS = 100;

async function measureFailovers(end: 'stop' | 'release' | 'cut') {
  const random = new RandomSource(9);
  const times: number[] = [];
  for (let run = 0; run < FAILOVERS; run += 1) {
    const bench = new DutyBench(run);
    const candidates = () => ['a', 'b', 'c'] as InstanceId[];
    candidates().forEach((name) => bench.join(name, { keeper: { candidates } }));
    await bench.passUntil(() => bench.holders().length === 1);
    await bench.pass(5_000 + random.int(0, 50) * 50);
    const [holder] = bench.holders();
    const member = bench.members.find(({ name }) => name === holder);
    if (end === 'stop') member?.gate.shut();
    if (end === 'cut') member?.log.cut();
    if (end === 'release') void member?.keeper.release();
    times.push(await bench.passUntil(() => bench.holders().some((name) => name !== holder)));
    await bench.stop();
  }
  times.sort((a, b) => a - b);
  const at = (share: number) => times[Math.floor(share * (times.length - 1))];
  return `least ${at(0)} ms, median ${at(0.5)} ms, 95 % ${at(0.95)} ms, most ${at(1)} ms`;
}

async function measureRenewals(keepers: number) {
  const bench = new DutyBench();
  for (let index = 0; index < keepers; index += 1) {
    bench.join(`p${index}`, { keeper: { duty: `targets/z${index}` } });
  }
  await bench.pass(5_000);
  const before = (await bench.kinds()).length;
  await bench.pass(100_000, 500);
  const appends = (await bench.kinds()).length - before;
  await bench.stop();
  return appends / 100;
}

async function measureDeltas(entries: number, itemsPerSecond: number) {
  const clock = new ManualClock();
  let appends = 0;
  const onAppend = () => {
    appends += 1;
  };
  const log = new MemoryLog({ clock, random: new RandomSource(1), onAppend });
  const ledgers = Array.from({ length: entries }, (_, index) => {
    const incarnation = `e${index}.1` as IncarnationId;
    return new UsageLedger({ log, clock, incarnation, random: new RandomSource(index) });
  });
  ledgers.forEach((ledger) => ledger.start());
  const source = new UsageBench();
  for (let step = 0; step < 1_000; step += 1) {
    for (let count = 0; count < itemsPerSecond / 10; count += 1) {
      ledgers[count % entries]?.add(source.item(step * itemsPerSecond + count));
    }
    clock.advance(100);
    await settle();
  }
  return appends / 100;
}

async function measureWindows() {
  const bench = new UsageBench();
  const { ledger } = bench.join('a');
  await bench.pass(2_000);
  for (let window = 0; window < 10; window += 1) {
    ledger.add(bench.item(window));
    await bench.pass(WINDOW_MS);
  }
  await bench.pass(GRACE_MS + 5_000);
  const page = (await bench.duty.log.read('usage', 0 as never))._unsafeUnwrap();
  const count = (kind: string) => page.records.filter((record) => record.kind === kind).length;
  const kinds = ['usage.close', 'usage.reported', 'usage.snapshot'].map(count);
  await bench.stop();
  return { windows: 10, closes: kinds[0], reported: kinds[1], snapshots: kinds[2] };
}

describe('control in figures', () => {
  it('fails over within the wait, and at once after a release', async () => {
    expect({
      stopped: await measureFailovers('stop'),
      cutFromTheLog: await measureFailovers('cut'),
      released: await measureFailovers('release'),
    }).toMatchInlineSnapshot(`
      {
        "cutFromTheLog": "least 6850 ms, median 8100 ms, 95 % 9150 ms, most 9250 ms",
        "released": "least 300 ms, median 300 ms, 95 % 300 ms, most 300 ms",
        "stopped": "least 6850 ms, median 8100 ms, 95 % 9150 ms, most 9250 ms",
      }
    `);
  });

  it('appends by duty, by entry and by item', async () => {
    expect({
      renewalsPerSecond: [
        await measureRenewals(1),
        await measureRenewals(4),
        await measureRenewals(10),
      ],
      deltasPerSecondByEntries: [
        await measureDeltas(1, 100),
        await measureDeltas(4, 100),
        await measureDeltas(8, 100),
      ],
      deltasPerSecondByItems: [
        await measureDeltas(2, 50),
        await measureDeltas(2, 200),
        await measureDeltas(2, 400),
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
