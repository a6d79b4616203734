/** Appends under lost answers, recovery from silent connections, and the memory of known ids. */
import { randomUUID } from 'node:crypto';

import { type Offset, RandomSource, type RecordId, SystemClock } from '@hibiscushill/base';
import { HttpLog, LogTail, type NewRecord, type StreamName, appendOnce } from '@hibiscushill/log';

import { Cutter, FakeLog, FakeServer } from '../src';

const TIMEOUT_MS = 300;
const WRITERS = 10;
const APPENDS = 20;
const SETTLE_MS = 700;
const PLAIN_APPENDS = 500;
const KEPT_CONNECTIONS = 12;
const SILENCES = 5;
const IDS = 16_384;

const clock = new SystemClock();

function createRecord(id: string): NewRecord {
  return { id: id as RecordId, kind: 'bench', payload: {} };
}

function percentile(times: readonly number[], share: number): string {
  const sorted = [...times].sort((a, b) => a - b);
  return (sorted[Math.floor(sorted.length * share)] ?? NaN).toFixed(1);
}

function print(what: string, figures: object): void {
  process.stdout.write(`${what} ${JSON.stringify(figures)}\n`);
}

async function measure(work: () => Promise<unknown>): Promise<number> {
  const start = performance.now();
  await work();
  return performance.now() - start;
}

async function compareAppends(
  log: HttpLog,
  stream: StreamName,
  append: (record: NewRecord) => Promise<unknown>,
): Promise<void> {
  const times: number[] = [];
  const runWriter = async (writer: number): Promise<void> => {
    for (let i = 0; i < APPENDS; i += 1) {
      times.push(await measure(() => append(createRecord(`${writer}-${i}`))));
    }
  };
  await Promise.all(Array.from({ length: WRITERS }, (_, writer) => runWriter(writer)));
  await clock.sleep(SETTLE_MS);
  const page = await log.read(stream, 0 as Offset, { limit: 10 * WRITERS * APPENDS });
  const records = page.map((read) => read.records.length).unwrapOr(NaN);
  const [p50, p99] = [percentile(times, 0.5), percentile(times, 0.99)];
  print(stream, { wanted: WRITERS * APPENDS, records, p50, p99 });
}

async function repeatBlindly(log: HttpLog, stream: StreamName, record: NewRecord): Promise<void> {
  while ((await log.append(stream, [record])).isErr());
}

async function measurePlain(log: HttpLog, tail: LogTail): Promise<void> {
  const appended: number[] = [];
  const delivered: number[] = [];
  for (let i = 0; i < PLAIN_APPENDS; i += 1) {
    const record = createRecord(`plain-${i}`);
    const read = measure(() => tail.waitFor(record.id));
    appended.push(await measure(async () => log.append('usage', [record])));
    delivered.push(await read);
  }
  const summarise = (times: number[]) => [percentile(times, 0.5), percentile(times, 0.99)];
  print('no fault', { appended: summarise(appended), delivered: summarise(delivered) });
}

async function measureSilence(log: HttpLog, cutter: Cutter): Promise<void> {
  for (let round = 0; round < SILENCES; round += 1) {
    const records = Array.from({ length: KEPT_CONNECTIONS }, (_, i) => `${round}-${i}`);
    await Promise.all(records.map((id) => log.append('targets', [createRecord(id)])));
    cutter.silence();
    let failed = 0;
    const ms = await measure(async () => {
      while ((await log.append('targets', [createRecord('next')])).isErr()) failed += 1;
    });
    print('silence', { failed, ms: Math.round(ms) });
  }
}

function measureIds(): void {
  const ids = JSON.parse(
    JSON.stringify(Array.from({ length: IDS }, () => randomUUID())),
  ) as RecordId[];
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const offsets = new Map(ids.map((id, index) => [id, index]));
  globalThis.gc?.();
  const table = (process.memoryUsage().heapUsed - before) / offsets.size;
  print('known ids', { bytesAnEntryWithoutItsText: Math.round(table) });
}

async function main(): Promise<void> {
  const fake = new FakeLog({ seed: 7 });
  const server = await FakeServer.start([fake]);
  const cutter = await Cutter.start({ target: server.address });
  const log = new HttpLog({ url: `http://${cutter.address}`, timeoutMs: TIMEOUT_MS });
  const tail = new LogTail({ log, stream: 'usage', clock, random: new RandomSource(1) });
  tail.start();
  fake.change({ loseAnswers: 0.2, landLate: 0.1, landLateMs: 500 });
  await compareAppends(log, 'config', (record) => repeatBlindly(log, 'config', record));
  const once = { timeoutMs: TIMEOUT_MS };
  await compareAppends(log, 'usage', async (record) =>
    appendOnce(log, tail, 'usage', [record], once),
  );
  fake.change({ loseAnswers: 0, landLate: 0 });
  await measurePlain(log, tail);
  await measureSilence(log, cutter);
  await tail.stop();
  await log.close();
  await cutter.close();
  await server.close();
  measureIds();
}

await main();
