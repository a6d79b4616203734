/** The number of processes that renew a due snapshot, by the distribution of their delays. */
import { type MonoTime, RandomSource, type WallTime } from '@hibiscushill/base';

import { type DelayPolicy, ExponentialDelay, SnapshotRenewal, UniformDelay } from '../src';
import { createChange, createDeclarations, printLine } from './support';

const PROCESSES = [4, 10, 50, 100, 400];
const MAX_DELAY_MS = 60_000;
const RETENTION_MS = 86_400_000;
const TICK_MS = 200;
const ROUNDS = 50;

// The time from a process's decision to write until every other process has read the snapshot.
const READ_DELAY_MS = 500;

function runRound(count: number, delayPolicy: DelayPolicy, random: RandomSource): [number, number] {
  const record = createChange(0, -1, createDeclarations({ teams: 1, keys: 0 }));
  const renewals = Array.from({ length: count }, () => {
    const options = { retentionMs: RETENTION_MS, maxDelayMs: MAX_DELAY_MS, delayPolicy, random };
    const renewal = new SnapshotRenewal(options);
    renewal.seek(0 as never);
    renewal.observe(record);
    return renewal;
  });
  const start = RETENTION_MS;
  let writers = 0;
  let first: number | undefined;
  for (let now = start; first === undefined || now < first + READ_DELAY_MS; now += TICK_MS) {
    for (const renewal of renewals) {
      if (renewal.shouldWrite(now as MonoTime, now as WallTime)) {
        writers += 1;
        first ??= now;
      }
    }
  }
  return [writers, first - start];
}

function measure(name: string, delayPolicy: DelayPolicy): void {
  PROCESSES.forEach((count) => {
    const random = new RandomSource(1);
    const rounds = Array.from({ length: ROUNDS }, () => runRound(count, delayPolicy, random));
    const writers = rounds.reduce((sum, [each]) => sum + each, 0) / ROUNDS;
    const max = Math.max(...rounds.map(([each]) => each));
    const seconds = rounds.reduce((sum, [, ms]) => sum + ms, 0) / ROUNDS / 1_000;
    printLine(
      `${name}, ${count} processes: ${writers.toFixed(2)} writers (max ${max}), ` +
        `first after ${seconds.toFixed(1)} s`,
    );
  });
}

measure('uniform', new UniformDelay());
measure('exponential', new ExponentialDelay());
