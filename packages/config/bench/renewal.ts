/** How many of many processes renew a snapshot that is due, by how their delays are drawn. */
import { type MonoTime, RandomSource, type WallTime } from '@hibiscushill/base';

import { type DelayPolicy, ExponentialDelay, SnapshotRenewal, UniformDelay } from '../src';
import { createChange, createDeclarations, print } from './inputs';

const PROCESSES = [4, 10, 50, 100, 400];
const SPREAD_MS = 60_000;
const RETENTION_MS = 86_400_000;
const TICK_MS = 200;
const ROUNDS = 50;

// From the decision to the moment at which every other process has read the record.
const SEEN_AFTER_MS = 500;

function runRound(count: number, delay: DelayPolicy, random: RandomSource): [number, number] {
  const record = createChange(0, -1, createDeclarations({ teams: 1, keys: 0 }));
  const renewals = Array.from({ length: count }, () => {
    const options = { retentionMs: RETENTION_MS, spreadMs: SPREAD_MS, delay, random };
    const renewal = new SnapshotRenewal(options);
    renewal.readFrom(0 as never);
    renewal.note(record);
    return renewal;
  });
  const start = RETENTION_MS;
  let writers = 0;
  let first: number | undefined;
  for (let now = start; first === undefined || now < first + SEEN_AFTER_MS; now += TICK_MS) {
    for (const renewal of renewals) {
      if (renewal.isTime(now as MonoTime, now as WallTime)) {
        writers += 1;
        first ??= now;
      }
    }
  }
  return [writers, first - start];
}

function measure(name: string, delay: DelayPolicy): void {
  PROCESSES.forEach((count) => {
    const random = new RandomSource(1);
    const rounds = Array.from({ length: ROUNDS }, () => runRound(count, delay, random));
    const writers = rounds.reduce((sum, [each]) => sum + each, 0) / ROUNDS;
    const most = Math.max(...rounds.map(([each]) => each));
    const seconds = rounds.reduce((sum, [, ms]) => sum + ms, 0) / ROUNDS / 1_000;
    print(
      `${name}, ${count} processes: ${writers.toFixed(2)} writers (most ${most}), ` +
        `first after ${seconds.toFixed(1)} s`,
    );
  });
}

measure('uniform', new UniformDelay());
measure('exponential', new ExponentialDelay());
