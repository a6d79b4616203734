import {
  ManualClock,
  type MonoTime,
  type Offset,
  type SoftwareVersion,
  type WeightVersion,
} from '@hibiscushill/base';
import { MemoryLog } from '@hibiscushill/log';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';

import { ItemTask } from '../src/item-task';
import { type ChainId, type OutputSegment, createProgressRecord } from '../src/progress-records';
import { ProgressStore } from '../src/progress-store';
import { Submission } from '../src/submission';
import { createFingerprint } from '../src/partial-output-cache';
import {
  createItem,
  createMetrics,
  createTerms,
  logger,
  advance,
  runPendingCallbacks,
  version,
} from './support';

const SUBMISSION = new Submission(createTerms('s1', 1), []);
const FINGERPRINT = createFingerprint(SUBMISSION.terms, createItem('i1'));
const EVENTS = Array.from({ length: 40 }, (_, index) => `event ${index + 1}`);

let clock: ManualClock;
let log: MemoryLog;

beforeEach(() => {
  clock = new ManualClock(1_000);
  log = new MemoryLog({ clock });
});

function createStore(): ProgressStore {
  return new ProgressStore({ log, clock, logger, metrics: createMetrics() });
}

function createTask(): ItemTask {
  return new ItemTask(SUBMISSION, createItem('i1'), 0 as MonoTime);
}

const SOFTWARE = '1.4.0' as SoftwareVersion;

function addEvents(task: ItemTask, count: number, by: WeightVersion = version(1)): void {
  const from = task.output.events.length;
  EVENTS.slice(from, from + count).forEach((data, index) => {
    task.addEvent({ number: from + index + 1, data, version: undefined }, by, SOFTWARE);
  });
}

async function save(store: ProgressStore, tasks: readonly ItemTask[]): Promise<void> {
  await advance(clock, 500, 100);
  store.save(tasks);
  await runPendingCallbacks();
}

async function recover() {
  const reading = createStore().recover();
  await advance(clock, 1_000, 100);
  return reading;
}

async function countRecords(): Promise<number> {
  return (await log.bounds('progress'))._unsafeUnwrap().next;
}

describe('partial outputs', () => {
  it('are recovered by the next holder as far as they were saved', async () => {
    const store = createStore();
    const task = createTask();
    addEvents(task, 10);
    await save(store, [task]);
    addEvents(task, 10, version(2));
    await save(store, [task]);
    addEvents(task, 10);
    expect((await recover()).get(FINGERPRINT)).toEqual({
      events: EVENTS.slice(0, 20),
      lastNumber: 20,
      versions: [1, 2],
      software: SOFTWARE,
    });
  });

  it('are read from the first record of an item that is still running', async () => {
    const store = createStore();
    const [done, open] = [createTask(), createTask()];
    addEvents(done, 20);
    await save(store, [done]);
    addEvents(open, 10);
    await save(store, [open]);
    addEvents(open, 10);
    await save(store, [open]);
    const last = (await log.read('progress', 2 as Offset))._unsafeUnwrap().records[0];
    expect(last?.payload).toMatchObject({ since: 1 });
    expect((await recover()).get(FINGERPRINT)?.events).toEqual(EVENTS.slice(0, 20));
  });

  it('start over when the item has started over', async () => {
    const store = createStore();
    const task = createTask();
    addEvents(task, 20);
    await save(store, [task]);
    task.restart();
    addEvents(task, 8, version(2));
    await save(store, [task]);
    const output = (await recover()).get(FINGERPRINT);
    expect(output).toEqual({
      events: EVENTS.slice(0, 8),
      lastNumber: 8,
      versions: [2],
      software: SOFTWARE,
    });
  });

  it('are not saved for only a few new events, or too often', async () => {
    const store = createStore();
    const task = createTask();
    addEvents(task, 5);
    await save(store, [task]);
    expect(await countRecords()).toBe(0);
    addEvents(task, 5);
    await save(store, [task]);
    addEvents(task, 10);
    store.save([task]);
    await runPendingCallbacks();
    expect(await countRecords()).toBe(1);
  });

  it('are saved within the size of one record, the longest first', async () => {
    const store = createStore();
    const tasks = Array.from({ length: 30 }, (_, index) => {
      const task = new ItemTask(SUBMISSION, createItem(`i${index}`), 0 as MonoTime);
      for (let number = 1; number <= 10 + index; number += 1) {
        task.addEvent({ number, data: 'x'.repeat(400), version: undefined }, version(1), SOFTWARE);
      }
      return task;
    });
    await save(store, tasks);
    const payload = (await log.read('progress', 0 as Offset))._unsafeUnwrap().records[0]?.payload;
    expect(JSON.stringify(payload).length).toBeLessThan(200_000);
    const outputs = await recover();
    expect(outputs.has(createFingerprint(SUBMISSION.terms, createItem('i29')))).toBe(true);
    expect(outputs.has(createFingerprint(SUBMISSION.terms, createItem('i0')))).toBe(false);
  });

  it('that exceed one record are saved in several, and do not delay the others', async () => {
    const store = createStore();
    const large = new ItemTask(SUBMISSION, createItem('large'), 0 as MonoTime);
    const events = Array.from({ length: 24 }, (_, index) => `${index} ${'\u0001'.repeat(2_500)}`);
    events.forEach((data, index) => {
      large.addEvent({ number: index + 1, data, version: undefined }, version(1), SOFTWARE);
    });
    const small = createTask();
    addEvents(small, 8);
    for (let saves = 0; saves < 4; saves += 1) await save(store, [large, small]);
    const page = (await log.read('progress', 0 as Offset))._unsafeUnwrap();
    const sizes = page.records.map(({ payload }) => Buffer.byteLength(JSON.stringify(payload)));
    expect(Math.max(...sizes)).toBeLessThan(262_144);
    const outputs = await recover();
    expect(outputs.get(FINGERPRINT)?.events).toEqual(EVENTS.slice(0, 8));
    const fingerprint = createFingerprint(SUBMISSION.terms, createItem('large'));
    expect(outputs.get(fingerprint)).toEqual({
      events,
      lastNumber: 24,
      versions: [1],
      software: SOFTWARE,
    });
  });

  it('are complete although the response to a save was lost', async () => {
    const store = createStore();
    const task = createTask();
    addEvents(task, 10);
    log.setFaults({ loseAnswers: 1 });
    await save(store, [task]);
    await advance(clock, 2_000, 100);
    log.setFaults({ loseAnswers: 0 });
    addEvents(task, 10);
    await save(store, [task]);
    expect(await countRecords()).toBe(2);
    expect((await recover()).get(FINGERPRINT)?.events).toEqual(EVENTS.slice(0, 20));
  });

  it('are not recovered when the log does not respond in time', async () => {
    const store = createStore();
    const task = createTask();
    addEvents(task, 10);
    await save(store, [task]);
    log.setFaults({ silent: true });
    expect((await recover()).size).toBe(0);
  });

  it('are always the beginning of one output, in whatever order and however often segments arrive', async () => {
    const chains = ['a', 'b'] as ChainId[];
    const segment = fc.record({
      chain: fc.constantFrom(...chains),
      from: fc.constantFrom(0, 0, 4, 8, 12),
      count: fc.integer({ min: 1, max: 8 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(segment, { minLength: 1, maxLength: 20 }), async (arrived) => {
        log = new MemoryLog({ clock });
        const parts = arrived.map(({ chain, from, count }): OutputSegment => ({
          work: FINGERPRINT,
          chain,
          from,
          events: EVENTS.slice(from, from + count).map((data) => `${chain} ${data}`),
          lastNumber: from + count,
          versions: [version(1)],
        }));
        for (const one of parts) {
          await log.append('progress', [
            createProgressRecord({ since: 0 as Offset, parts: [one] }),
          ]);
        }
        const output = (await createStore().recover()).get(FINGERPRINT);
        const events = output?.events ?? [];
        const [chain] = events[0] ?? '';
        expect(events).toEqual(EVENTS.slice(0, events.length).map((data) => `${chain} ${data}`));
        expect(output?.lastNumber).toBe(output && events.length);
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});
