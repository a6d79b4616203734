/**
 * Runs operators and followers as separate processes on a log that loses responses, stores appends
 * late and has an outage, and checks what they observed. Run it on a new, empty log:
 * `node scripts/bench.mjs ctl/race http://127.0.0.1:PORT [trust]`. With `trust`, operators take an
 * append's response for the outcome of the change; the check must then report violations.
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
import { type AppliedVersion, type ReportedOutcome, checkRace } from './race-check';

const OPERATOR_COUNT = 3;
const FOLLOWER_COUNT = 4;
const CHANGES_PER_OPERATOR = 100;
// The first follower is paused for FOLLOWER_PAUSE_MS at the start of the outage.
const OUTAGE_AFTER_MS = 4_000;
const OUTAGE_MS = 5_000;
const FOLLOWER_PAUSE_MS = 3_000;
const CATCH_UP_MS = 5_000;
const OUTCOME_WAIT_MS = 30_000;
const RETRY_INTERVAL_MS = 200;
const FAULTS = { loseAnswers: 0.1, landLate: 0.1, landLateMs: 700 };

/** What an operator or a follower sends to the process that started it. */
type Message = { reported: ReportedOutcome } | { applied: AppliedVersion };

const clock = new SystemClock();
const [, program = '', url = '', role = '', name = ''] = process.argv;
const log = new HttpLog({ url });

function send(message: Message): void {
  process.send?.(message);
}

function createDeclarations(content: number): Declarations {
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
  const payload = { base: reader.version, declarations: createDeclarations(content) };
  const record = { id: createId<RecordId>(), kind: CHANGE_KIND, payload };
  const appended = await log.append('config', [record]);
  return appended.match(
    (offset) => ({ outcome: 'accepted', version: offset }),
    () => ({ outcome: 'unknown', version: -1 }),
  );
}

async function applyChecked(content: number): Promise<{ outcome: string; version: number }> {
  const outcome = await new ChangeApplier({ log, clock, waitMs: OUTCOME_WAIT_MS }).apply(
    createDeclarations(content),
  );
  return { outcome: outcome.type, version: outcome.type === 'accepted' ? outcome.version : -1 };
}

/** Makes an operator's changes one after the other and reports each outcome. */
async function runOperator(isTrusting: boolean): Promise<void> {
  const number = Number(name.slice(-1));
  for (let index = 0; index < CHANGES_PER_OPERATOR; index += 1) {
    const content = 1 + number * CHANGES_PER_OPERATOR + index;
    const result = await (isTrusting ? applyTrusting(content) : applyChecked(content));
    send({ reported: { operator: name, content, ...result } });
    if (result.outcome === 'unknown') await clock.sleep(RETRY_INTERVAL_MS);
  }
  process.disconnect();
}

/** Follows the configuration and reports each version that comes into force. */
function runFollower(): void {
  const store = new ConfigStore({ clock });
  store.onChange(({ version }) => send({ applied: { process: name, version } }));
  new ConfigFollower({ log, store, clock }).start();
}

function startProcess(kind: string, index: number, messages: Message[]): ChildProcess {
  const child = fork(program, [url, kind, `${kind}-${index}`]);
  child.on('message', (message) => messages.push(message as Message));
  return child;
}

/** Changes the faults of the fake log. */
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

/** Starts the processes, injects the faults and checks the race at its end. */
async function runRace(operator: string): Promise<void> {
  const messages: Message[] = [];
  await setFaults(FAULTS);
  const followers = Array.from({ length: FOLLOWER_COUNT }, (_, i) =>
    startProcess('follower', i, messages),
  );
  const operators = Array.from({ length: OPERATOR_COUNT }, (_, i) =>
    startProcess(operator, i, messages),
  );
  const ended = operators.map((child) => once(child, 'exit'));
  await clock.sleep(OUTAGE_AFTER_MS);
  await setFaults({ outage: true });
  followers[0]?.kill('SIGSTOP');
  await clock.sleep(FOLLOWER_PAUSE_MS);
  followers[0]?.kill('SIGCONT');
  await clock.sleep(OUTAGE_MS - FOLLOWER_PAUSE_MS);
  await setFaults({ outage: false });
  await Promise.all(ended);
  await setFaults({ loseAnswers: 0, landLate: 0 });
  await clock.sleep(CATCH_UP_MS);
  followers.forEach((child) => child.kill());
  const reported = messages.flatMap((message) => ('reported' in message ? message.reported : []));
  const applied = messages.flatMap((message) => ('applied' in message ? message.applied : []));
  const records = await readAll();
  const problems = checkRace({ records, reported, applied, contentOf });
  const counts: Record<string, number> = {};
  reported.forEach(({ outcome }) => {
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  });
  const summary = { records: records.length, told: counts, seen: applied.length };
  process.stdout.write(`${JSON.stringify({ ...summary, problems: problems.length })}\n`);
  problems.slice(0, 5).forEach((problem) => process.stdout.write(`${problem}\n`));
  process.exitCode = problems.length > 0 ? 1 : 0;
  await log.close();
}

if (role === 'follower') runFollower();
else if (role === 'checking') await runOperator(false);
else if (role === 'trusting') await runOperator(true);
else await runRace(role === 'trust' ? 'trusting' : 'checking');
