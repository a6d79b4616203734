/**
 * Time from the call that applies a change to each process's view of it, over HTTP:
 * `node scripts/bench.mjs config/spread http://127.0.0.1:PORT PROCESSES`, with a fresh log.
 */
import { fork } from 'node:child_process';

import { type RecordId, SystemClock, createId } from '@hibiscushill/base';
import { HttpLog } from '@hibiscushill/log';

import { ConfigFollower, ConfigStore } from '../src';
import { createDeclarations, print } from './inputs';

const CHANGES = 100;
const PAUSE_MS = 50;
const SETTLE_MS = 1_500;
const SIZE = { teams: 100, keys: 1_000 };

const clock = new SystemClock();
const [, program = '', url = '', processes = '1'] = process.argv;

// One axis for all processes of the machine.
const now = (): number => performance.timeOrigin + performance.now();

interface Seen {
  readonly version: number;
  readonly at: number;
}

function follow(): void {
  const store = new ConfigStore({ clock });
  store.onChange((view) => process.send?.({ version: view.version, at: now() }));
  new ConfigFollower({ log: new HttpLog({ url }), store, clock }).start();
}

function quantile(values: readonly number[], share: number): string {
  const at = Math.min(values.length - 1, Math.floor(values.length * share));
  return (values[at] ?? 0).toFixed(1);
}

async function lead(count: number): Promise<void> {
  const seen: Seen[] = [];
  const sent: number[] = [];
  const children = Array.from({ length: count }, () => fork(program, [url, 'follower']));
  children.forEach((child) => child.on('message', (message) => seen.push(message as Seen)));
  await clock.sleep(SETTLE_MS);
  const log = new HttpLog({ url });
  for (let index = 0; index < CHANGES; index += 1) {
    const payload = { base: index - 1, declarations: createDeclarations(SIZE, index + 1) };
    sent.push(now());
    const record = { id: createId<RecordId>(), kind: 'config.change', payload };
    const result = await log.append('config', [record]);
    if (result.isErr()) throw new Error(result.error.detail);
    await clock.sleep(PAUSE_MS);
  }
  await clock.sleep(SETTLE_MS);
  children.forEach((child) => child.kill());
  const times = seen.map(({ version, at }) => at - (sent[version] ?? 0)).sort((a, b) => a - b);
  const [p50, p99, most] = [0.5, 0.99, 1].map((share) => quantile(times, share));
  print(`${count} processes: ${seen.length} of ${count * CHANGES} views seen;`);
  print(`p50 ${p50} ms, p99 ${p99} ms, most ${most} ms`);
  await log.close();
}

if (processes === 'follower') follow();
else await lead(Number(processes));
