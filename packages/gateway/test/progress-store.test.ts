import { ManualClock, type Offset, type WeightVersion } from '@hibiscushill/base';
import { MemoryLog } from '@hibiscushill/log';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';

import { ItemTask } from '../src/item-task';
import { type ChainId, type OutputSegment, createProgressRecord } from '../src/progress-records';
import { ProgressStore } from '../src/progress-store';
import { Submission } from '../src/submission';
import { createFingerprint } from '../src/partial-output-cache';
import { createItem, createMetrics, createTerms, logger, pass, settle, version } from './support';

const SUBMISSION = new Submission(createTerms('s1', 1), []);
const WORK = createFingerprint(SUBMISSION.terms, createItem('i1'));
const TEXT = Array.from({ length: 40 }, (_, index) => `event ${index + 1}`);

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
  return new ItemTask(SUBMISSION, createItem('i1'), false);
}

function grow(task: ItemTask, count: number, by: WeightVersion = version(1)): void {
  const from = task.output.events.length;
  TEXT.slice(from, from + count).forEach((data, index) => {
    task.addEvent({ number: from + index + 1, data, version: undefined }, by);
  });
}

async function save(store: ProgressStore, tasks: readonly ItemTask[]): Promise<void> {
  await pass(clock, 500, 100);
  store.save(tasks);
  await settle();
}

async function recover() {
  const reading = createStore().recover();
  await pass(clock, 1_000, 100);
  return reading;
}

async function countNotes(): Promise<number> {
  return (await log.bounds('progress'))._unsafeUnwrap().next;
}

describe('unfinished texts', () => {
  it('are read by a successor as far as they were saved', async () => {
    const store = createStore();
    const task = createTask();
    grow(task, 10);
    await save(store, [task]);
    grow(task, 10, version(2));
    await save(store, [task]);
    grow(task, 10);
    expect((await recover()).get(WORK)).toEqual({
      events: TEXT.slice(0, 20),
      lastNumber: 20,
      versions: [1, 2],
    });
  });

  it('are read from the first note of an item that still runs', async () => {
    const store = createStore();
    const [done, open] = [createTask(), createTask()];
    grow(done, 20);
    await save(store, [done]);
    grow(open, 10);
    await save(store, [open]);
    grow(open, 10);
    await save(store, [open]);
    const last = (await log.read('progress', 2 as Offset))._unsafeUnwrap().records[0];
    expect(last?.payload).toMatchObject({ since: 1 });
    expect((await recover()).get(WORK)?.events).toEqual(TEXT.slice(0, 20));
  });

  it('start over when the item did', async () => {
    const store = createStore();
    const task = createTask();
    grow(task, 20);
    await save(store, [task]);
    task.restart();
    grow(task, 8, version(2));
    await save(store, [task]);
    const text = (await recover()).get(WORK);
    expect(text).toEqual({ events: TEXT.slice(0, 8), lastNumber: 8, versions: [2] });
  });

  it('are not written while hardly anything was added, or too often', async () => {
    const store = createStore();
    const task = createTask();
    grow(task, 5);
    await save(store, [task]);
    expect(await countNotes()).toBe(0);
    grow(task, 5);
    await save(store, [task]);
    grow(task, 10);
    store.save([task]);
    await settle();
    expect(await countNotes()).toBe(1);
  });

  it('stay within the size of a record, the longest first', async () => {
    const store = createStore();
    const tasks = Array.from({ length: 30 }, (_, index) => {
      const task = new ItemTask(SUBMISSION, createItem(`i${index}`), false);
      for (let number = 1; number <= 10 + index; number += 1) {
        task.addEvent({ number, data: 'x'.repeat(400), version: undefined }, version(1));
      }
      return task;
    });
    await save(store, tasks);
    const note = (await log.read('progress', 0 as Offset))._unsafeUnwrap().records[0]?.payload;
    expect(JSON.stringify(note).length).toBeLessThan(200_000);
    const texts = await recover();
    expect(texts.has(createFingerprint(SUBMISSION.terms, createItem('i29')))).toBe(true);
    expect(texts.has(createFingerprint(SUBMISSION.terms, createItem('i0')))).toBe(false);
  });

  it('that are longer than a record go with several notes, and hold up no others', async () => {
    const store = createStore();
    const large = new ItemTask(SUBMISSION, createItem('large'), false);
    const events = Array.from({ length: 24 }, (_, index) => `${index} ${'\u0001'.repeat(2_500)}`);
    events.forEach((data, index) => {
      large.addEvent({ number: index + 1, data, version: undefined }, version(1));
    });
    const small = createTask();
    grow(small, 8);
    for (let saves = 0; saves < 4; saves += 1) await save(store, [large, small]);
    const page = (await log.read('progress', 0 as Offset))._unsafeUnwrap();
    const sizes = page.records.map(({ payload }) => Buffer.byteLength(JSON.stringify(payload)));
    expect(Math.max(...sizes)).toBeLessThan(262_144);
    const texts = await recover();
    expect(texts.get(WORK)?.events).toEqual(TEXT.slice(0, 8));
    const work = createFingerprint(SUBMISSION.terms, createItem('large'));
    expect(texts.get(work)).toEqual({ events, lastNumber: 24, versions: [1] });
  });

  it('are whole though the answer to a save was lost', async () => {
    const store = createStore();
    const task = createTask();
    grow(task, 10);
    log.setFaults({ loseAnswers: 1 });
    await save(store, [task]);
    await pass(clock, 2_000, 100);
    log.setFaults({ loseAnswers: 0 });
    grow(task, 10);
    await save(store, [task]);
    expect(await countNotes()).toBe(2);
    expect((await recover()).get(WORK)?.events).toEqual(TEXT.slice(0, 20));
  });

  it('are done without when the log does not answer in time', async () => {
    const store = createStore();
    const task = createTask();
    grow(task, 10);
    await save(store, [task]);
    log.setFaults({ silent: true });
    expect((await recover()).size).toBe(0);
  });

  it('are always a part of one text, in whatever order and however often parts arrive', async () => {
    const chains = ['a', 'b'] as ChainId[];
    const part = fc.record({
      chain: fc.constantFrom(...chains),
      from: fc.constantFrom(0, 0, 4, 8, 12),
      count: fc.integer({ min: 1, max: 8 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(part, { minLength: 1, maxLength: 20 }), async (arrived) => {
        log = new MemoryLog({ clock });
        const parts = arrived.map(({ chain, from, count }): OutputSegment => ({
          work: WORK,
          chain,
          from,
          events: TEXT.slice(from, from + count).map((data) => `${chain} ${data}`),
          lastNumber: from + count,
          versions: [version(1)],
        }));
        for (const one of parts) {
          await log.append('progress', [
            createProgressRecord({ since: 0 as Offset, parts: [one] }),
          ]);
        }
        const text = (await createStore().recover()).get(WORK);
        const events = text?.events ?? [];
        const [chain] = events[0] ?? '';
        expect(events).toEqual(TEXT.slice(0, events.length).map((data) => `${chain} ${data}`));
        expect(text?.lastNumber).toBe(text && events.length);
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});
