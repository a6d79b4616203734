/**
 * Measures the log client on a fake log: appends with lost responses, recovery from silent
 * connections, and the memory of a table of record ids.
 */
import { randomUUID } from 'node:crypto';

import { type Offset, RandomSource, type RecordId, SystemClock } from '@hibiscushill/base';
import { HttpLog, LogTail, type NewRecord, type StreamName, appendOnce } from '@hibiscushill/log';

import { FaultProxy, FakeLog, FakeServer } from '../src';

const TIMEOUT_MS = 300;
const WRITERS = 10;
const APPENDS_PER_WRITER = 20;
const LATE_APPEND_WAIT_MS = 700;
const FAULTLESS_APPENDS = 500;
const POOLED_CONNECTIONS = 12;
const SILENCE_ROUNDS = 5;
const ID_COUNT = 16_384;

const clock = new SystemClock();

function createRecord(id: string): NewRecord {
  return { id: id as RecordId, kind: 'bench', payload: {} };
}

function percentile(latenciesMs: readonly number[], fraction: number): string {
  const sorted = [...latenciesMs].sort((a, b) => a - b);
  return (sorted[Math.floor(sorted.length * fraction)] ?? NaN).toFixed(1);
}

function printResult(name: string, figures: object): void {
  process.stdout.write(`${name} ${JSON.stringify(figures)}\n`);
}

async function measureMs(work: () => Promise<unknown>): Promise<number> {
  const start = performance.now();
  await work();
  return performance.now() - start;
}

/** Appends from several writers and prints the number of stored records and the latencies in ms. */
async function compareAppends(
  log: HttpLog,
  stream: StreamName,
  append: (record: NewRecord) => Promise<unknown>,
): Promise<void> {
  const latenciesMs: number[] = [];
  const runWriter = async (writer: number): Promise<void> => {
    for (let i = 0; i < APPENDS_PER_WRITER; i += 1) {
      latenciesMs.push(await measureMs(() => append(createRecord(`${writer}-${i}`))));
    }
  };
  await Promise.all(Array.from({ length: WRITERS }, (_, writer) => runWriter(writer)));
  await clock.sleep(LATE_APPEND_WAIT_MS);
  const page = await log.read(stream, 0 as Offset, { limit: 10 * WRITERS * APPENDS_PER_WRITER });
  const records = page.map((read) => read.records.length).unwrapOr(NaN);
  const [p50, p99] = [percentile(latenciesMs, 0.5), percentile(latenciesMs, 0.99)];
  printResult(stream, { wanted: WRITERS * APPENDS_PER_WRITER, records, p50, p99 });
}

/** Repeats an append until it succeeds, without a check whether an earlier one was stored. */
async function appendUntilConfirmed(
  log: HttpLog,
  stream: StreamName,
  record: NewRecord,
): Promise<void> {
  while ((await log.append(stream, [record])).isErr());
}

/** Prints the latencies in ms until an append is confirmed and until it is read back. */
async function measureWithoutFaults(log: HttpLog, tail: LogTail): Promise<void> {
  const appended: number[] = [];
  const delivered: number[] = [];
  for (let i = 0; i < FAULTLESS_APPENDS; i += 1) {
    const record = createRecord(`plain-${i}`);
    const read = measureMs(() => tail.waitFor(record.id));
    appended.push(await measureMs(async () => log.append('usage', [record])));
    delivered.push(await read);
  }
  const summarise = (latenciesMs: number[]) => [
    percentile(latenciesMs, 0.5),
    percentile(latenciesMs, 0.99),
  ];
  printResult('no fault', { appended: summarise(appended), delivered: summarise(delivered) });
}

/** Silences all pooled connections and prints how long the next append takes to succeed. */
async function measureSilence(log: HttpLog, proxy: FaultProxy): Promise<void> {
  for (let round = 0; round < SILENCE_ROUNDS; round += 1) {
    const records = Array.from({ length: POOLED_CONNECTIONS }, (_, i) => `${round}-${i}`);
    await Promise.all(records.map((id) => log.append('targets', [createRecord(id)])));
    proxy.silence();
    let failed = 0;
    const ms = await measureMs(async () => {
      while ((await log.append('targets', [createRecord('next')])).isErr()) failed += 1;
    });
    printResult('silence', { failed, ms: Math.round(ms) });
  }
}

/** Prints the heap bytes per entry of a map from record ids to offsets, without the ids. */
function measureIdTable(): void {
  const ids = JSON.parse(
    JSON.stringify(Array.from({ length: ID_COUNT }, () => randomUUID())),
  ) as RecordId[];
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const offsets = new Map(ids.map((id, index) => [id, index]));
  globalThis.gc?.();
  const bytesPerEntry = (process.memoryUsage().heapUsed - before) / offsets.size;
  printResult('known ids', { bytesAnEntryWithoutItsText: Math.round(bytesPerEntry) });
}

async function main(): Promise<void> {
  const fake = new FakeLog({ seed: 7 });
  const server = await FakeServer.start([fake]);
  const proxy = await FaultProxy.start({ target: server.address });
  const log = new HttpLog({ url: `http://${proxy.address}`, timeoutMs: TIMEOUT_MS });
  const tail = new LogTail({ log, stream: 'usage', clock, random: new RandomSource(1) });
  tail.start();
  fake.changeSettings({ loseAnswers: 0.2, landLate: 0.1, landLateMs: 500 });
  await compareAppends(log, 'config', (record) => appendUntilConfirmed(log, 'config', record));
  const once = { timeoutMs: TIMEOUT_MS };
  await compareAppends(log, 'usage', async (record) =>
    appendOnce(log, tail, 'usage', [record], once),
  );
  fake.changeSettings({ loseAnswers: 0, landLate: 0 });
  await measureWithoutFaults(log, tail);
  await measureSilence(log, proxy);
  await tail.stop();
  await log.close();
  await proxy.close();
  await server.close();
  measureIdTable();
}

await main();
