/**
 * The time from the append of a change until each process's view contains it, over HTTP:
 * `node scripts/bench.mjs config/propagation http://127.0.0.1:PORT PROCESSES`, with an empty log.
 */
import { fork } from 'node:child_process';

import { type RecordId, SystemClock, createId } from '@hibiscushill/base';
import { HttpLog } from '@hibiscushill/log';

import { ConfigFollower, ConfigStore } from '../src';
import { createDeclarations, printLine } from './support';

const CHANGES = 100;
const PAUSE_MS = 50;
const SETTLE_MS = 1_500;
const SIZE = { teams: 100, keys: 1_000 };

const clock = new SystemClock();
const [, program = '', url = '', processes = '1'] = process.argv;

// A clock that the processes of this machine share.
const now = (): number => performance.timeOrigin + performance.now();

/** When a process's view changed to a version, in milliseconds of the shared clock. */
interface SeenVersion {
  readonly version: number;
  readonly at: number;
}

function runFollower(): void {
  const store = new ConfigStore({ clock });
  store.onChange((view) => process.send?.({ version: view.version, at: now() }));
  new ConfigFollower({ log: new HttpLog({ url }), store, clock }).start();
}

function quantile(sorted: readonly number[], fraction: number): string {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * fraction));
  return (sorted[index] ?? 0).toFixed(1);
}

async function runMeasurement(count: number): Promise<void> {
  const seen: SeenVersion[] = [];
  const sentAt: number[] = [];
  const children = Array.from({ length: count }, () => fork(program, [url, 'follower']));
  children.forEach((child) => child.on('message', (message) => seen.push(message as SeenVersion)));
  await clock.sleep(SETTLE_MS);
  const log = new HttpLog({ url });
  for (let index = 0; index < CHANGES; index += 1) {
    const payload = { base: index - 1, declarations: createDeclarations(SIZE, index + 1) };
    sentAt.push(now());
    const record = { id: createId<RecordId>(), kind: 'config.change', payload };
    const result = await log.append('config', [record]);
    if (result.isErr()) throw new Error(result.error.detail);
    await clock.sleep(PAUSE_MS);
  }
  await clock.sleep(SETTLE_MS);
  children.forEach((child) => child.kill());
  const times = seen.map(({ version, at }) => at - (sentAt[version] ?? 0)).sort((a, b) => a - b);
  const [p50, p99, max] = [0.5, 0.99, 1].map((fraction) => quantile(times, fraction));
  printLine(`${count} processes: ${seen.length} of ${count * CHANGES} views seen;`);
  printLine(`p50 ${p50} ms, p99 ${p99} ms, max ${max} ms`);
  await log.close();
}

if (processes === 'follower') runFollower();
else await runMeasurement(Number(processes));
