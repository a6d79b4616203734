/**
 * Operators and followers as processes of their own, racing on a log that loses answers, lands
 * appends late and has an outage: `node scripts/bench.mjs ctl/race http://127.0.0.1:PORT [trust]`,
 * with a fresh log. With `trust`, operators believe the append's answer, which has to be found out.
 */
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';

import { type RecordId, SystemClock, createId } from '@hibiscushill/base';
import {
  CHANGE_KIND,
  ConfigFollower,
  ConfigStore,
  Declarations,
  toCanonical,
} from '@hibiscushill/config';
import { HttpLog, type LogRecord } from '@hibiscushill/log';
import { request } from 'undici';

import { ChangeApplier, ConfigReader } from '../src';
import { type Seen, type Told, checkRace } from './race-check';

const OPERATORS = 3;
const FOLLOWERS = 4;
const CHANGES = 100;
const OUTAGE_AFTER_MS = 4_000;
const OUTAGE_MS = 5_000;
const FREEZE_MS = 3_000;
const SETTLE_MS = 5_000;
const WAIT_MS = 30_000;
const PAUSE_MS = 200;
const FAULTS = { loseAnswers: 0.1, landLate: 0.1, landLateMs: 700 };

type Message = { told: Told } | { seen: Seen };

const clock = new SystemClock();
const [, program = '', url = '', role = '', name = ''] = process.argv;
const log = new HttpLog({ url });

function tell(message: Message): void {
  process.send?.(message);
}

function createContent(content: number): Declarations {
  const bounds = { requestsPerSecond: content, tokensPerSecond: 1, inFlight: 1 };
  return toCanonical(Declarations.parse({ teams: [{ name: 'stalls', bounds }] }));
}

function contentOf(payload: unknown): number {
  const { declarations } = payload as { declarations: Declarations };
  return declarations.teams[0]?.bounds.requestsPerSecond ?? 0;
}

async function applyTrusting(content: number): Promise<{ outcome: string; version: number }> {
  const reader = new ConfigReader(log);
  await reader.catchUp();
  const payload = { base: reader.version, declarations: createContent(content) };
  const record = { id: createId<RecordId>(), kind: CHANGE_KIND, payload };
  const sent = await log.append('config', [record]);
  return sent.match(
    (offset) => ({ outcome: 'accepted', version: offset }),
    () => ({ outcome: 'unknown', version: -1 }),
  );
}

async function applyChecked(content: number): Promise<{ outcome: string; version: number }> {
  const outcome = await new ChangeApplier({ log, clock, waitMs: WAIT_MS }).apply(
    createContent(content),
  );
  return { outcome: outcome.type, version: outcome.type === 'accepted' ? outcome.version : -1 };
}

async function operate(isTrusting: boolean): Promise<void> {
  const number = Number(name.slice(-1));
  for (let index = 0; index < CHANGES; index += 1) {
    const content = 1 + number * CHANGES + index;
    const result = await (isTrusting ? applyTrusting(content) : applyChecked(content));
    tell({ told: { operator: name, content, ...result } });
    if (result.outcome === 'unknown') await clock.sleep(PAUSE_MS);
  }
  process.disconnect();
}

function follow(): void {
  const store = new ConfigStore({ clock });
  store.onChange(({ version }) => tell({ seen: { process: name, version } }));
  new ConfigFollower({ log, store, clock }).start();
}

function start(kind: string, index: number, messages: Message[]): ChildProcess {
  const child = fork(program, [url, kind, `${kind}-${index}`]);
  child.on('message', (message) => messages.push(message as Message));
  return child;
}

async function setFaults(faults: object): Promise<void> {
  const res = await request(`${url}/admin/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
  await res.body.dump();
  if (res.statusCode >= 300) throw new Error(`faults: ${res.statusCode}`);
}

async function readAll(): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  const { next } = (await log.bounds('config')).unwrapOr({ first: 0, next: 0 } as never);
  while (records.length < next) {
    const page = await log.read('config', records.length as never);
    if (page.isErr()) throw new Error(page.error.detail);
    records.push(...page.value.records);
  }
  return records;
}

async function referee(operator: string): Promise<void> {
  const messages: Message[] = [];
  await setFaults(FAULTS);
  const followers = Array.from({ length: FOLLOWERS }, (_, i) => start('follower', i, messages));
  const operators = Array.from({ length: OPERATORS }, (_, i) => start(operator, i, messages));
  const ended = operators.map((child) => once(child, 'exit'));
  await clock.sleep(OUTAGE_AFTER_MS);
  await setFaults({ outage: true });
  followers[0]?.kill('SIGSTOP');
  await clock.sleep(FREEZE_MS);
  followers[0]?.kill('SIGCONT');
  await clock.sleep(OUTAGE_MS - FREEZE_MS);
  await setFaults({ outage: false });
  await Promise.all(ended);
  await setFaults({ loseAnswers: 0, landLate: 0 });
  await clock.sleep(SETTLE_MS);
  followers.forEach((child) => child.kill());
  const told = messages.flatMap((message) => ('told' in message ? message.told : []));
  const seen = messages.flatMap((message) => ('seen' in message ? message.seen : []));
  const records = await readAll();
  const problems = checkRace({ records, told, seen, contentOf });
  const counts: Record<string, number> = {};
  told.forEach(({ outcome }) => {
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  });
  const summary = { records: records.length, told: counts, seen: seen.length };
  process.stdout.write(`${JSON.stringify({ ...summary, problems: problems.length })}\n`);
  problems.slice(0, 5).forEach((problem) => process.stdout.write(`${problem}\n`));
  process.exitCode = problems.length > 0 ? 1 : 0;
  await log.close();
}

if (role === 'follower') follow();
else if (role === 'checking') await operate(false);
else if (role === 'trusting') await operate(true);
else await referee(role === 'trust' ? 'trusting' : 'checking');
