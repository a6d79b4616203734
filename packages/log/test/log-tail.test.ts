import {
  ManualClock,
  type Offset,
  RandomSource,
  type RecordId,
  createFailure,
} from '@hibiscushill/base';
import { isSome } from 'fp-ts/Option';
import { ResultAsync, err } from 'neverthrow';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { type AppendEvent, LogTail, MemoryLog, type NewRecord, appendOnce } from '../src';

const STREAM = 'config';

function record(id: string): NewRecord {
  return { id: id as RecordId, kind: 'test', payload: { id } };
}

interface SetUpOptions {
  from?: number;
  recentIdCapacity?: number;
  /** The log has an outage after the first append with this outcome. */
  outageAfter?: AppendEvent['outcome'];
}

function setUp(options: SetUpOptions = {}) {
  const clock = new ManualClock();
  const random = new RandomSource(1);
  const events: AppendEvent[] = [];
  const onAppend = (event: AppendEvent): void => {
    events.push(event);
    if (event.outcome === options.outageAfter) log.setFaults({ outage: true });
  };
  const log = new MemoryLog({ clock, random, onAppend });
  const { from = 0, recentIdCapacity = 100 } = options;
  const tail = new LogTail({
    log,
    clock,
    random,
    recentIdCapacity,
    stream: STREAM,
    from: from as Offset,
  });
  const seen: string[] = [];
  tail.subscribe((read) => seen.push(`${read.offset}:${read.id}`));
  // Advances the manual clock in small steps while the test waits.
  const timer = setInterval(() => clock.advance(100), 1);
  stops.push(async () => {
    clearInterval(timer);
    await tail.stop();
  });
  return { clock, random, log, tail, seen, events };
}

const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

async function storedIds(log: MemoryLog): Promise<string[]> {
  const page = await log.read(STREAM, 0 as Offset);
  return page._unsafeUnwrap().records.map((read) => read.id);
}

describe('LogTail', () => {
  it('delivers each record once and in order', async () => {
    const { log, tail, seen } = setUp();
    await log.append(STREAM, [record('a'), record('b')]);
    tail.start();
    await tail.waitFor('b' as RecordId);
    await log.append(STREAM, [record('c')]);
    await tail.waitFor('c' as RecordId);
    expect(seen).toEqual(['0:a', '1:b', '2:c']);
    expect(tail.caughtUpAt).toBeDefined();
  });

  it('waits for a batch of records after a page that held some', async () => {
    const { clock, random, log } = setUp();
    const reads: number[] = [];
    const read = log.read.bind(log);
    log.read = (...args) => {
      reads.push(clock.mono());
      return read(...args);
    };
    const tail = new LogTail({ log, clock, random, stream: STREAM, batchDelayMs: () => 5_000 });
    stops.push(() => tail.stop());
    tail.start();
    await vi.waitUntil(() => reads.length > 0);
    await log.append(STREAM, [record('a')]);
    await tail.waitFor('a' as RecordId);
    const readsBefore = reads.length;
    await log.append(STREAM, [record('b')]);
    await log.append(STREAM, [record('c')]);
    await tail.waitFor('c' as RecordId);
    expect(reads.slice(readsBefore)).toHaveLength(1);
    expect((reads[readsBefore] ?? 0) - (reads[readsBefore - 1] ?? 0)).toBeGreaterThanOrEqual(5_000);
  });

  it('ends the wait for a batch when catchUp is called', async () => {
    const { clock, random, log } = setUp();
    const tail = new LogTail({ log, clock, random, stream: STREAM, batchDelayMs: () => Infinity });
    stops.push(() => tail.stop());
    tail.start();
    await log.append(STREAM, [record('a')]);
    await tail.waitFor('a' as RecordId);
    await log.append(STREAM, [record('b')]);
    expect(await tail.catchUp()).toBe(true);
    expect(isSome(tail.findOffset('b' as RecordId))).toBe(true);
  });

  it.each([
    ['refused reads', 0, 300 + 200],
    // The read in progress when the log is back, with its wait and timeout, then the backoff.
    ['did not respond', 600 + 2_000, 600 + 2_000 + 300 + 200],
  ])('resumes soon after an outage in which the log %s', async (_, silentMs, maxMs) => {
    const { clock, random, log } = setUp();
    let isDown = true;
    const read = log.read.bind(log);
    log.read = (stream, from, options = {}) => {
      if (!isDown) return read(stream, from, options);
      const allowedMs = (options.waitMs ?? 0) + (options.timeoutMs ?? 0);
      const run = silentMs > 0 ? 'may-have-run' : 'not-run';
      const ended = clock
        .sleep(silentMs > 0 ? allowedMs : 0)
        .then(() => err(createFailure('platform_down', { detail: 'down', run })));
      return new ResultAsync(ended);
    };
    const tail = new LogTail({
      log,
      clock,
      random,
      stream: STREAM,
      waitMs: 600,
      timeoutMs: 700,
      maxTimeoutMs: 2_000,
      backoff: { initialMs: 40, maxMs: 300 },
    });
    stops.push(() => tail.stop());
    tail.start();
    const endsAt = clock.mono() + 60_000;
    await vi.waitUntil(() => clock.mono() > endsAt, { timeout: 10_000 });
    isDown = false;
    const recoveredAt = clock.mono();
    await tail.catchUp();
    expect(clock.mono() - recoveredAt).toBeLessThanOrEqual(maxMs);
  });

  it('ignores a repeated id', async () => {
    const { log, tail, seen } = setUp();
    await log.append(STREAM, [record('a')]);
    await log.append(STREAM, [record('a')]);
    await log.append(STREAM, [record('b')]);
    tail.start();
    await tail.waitFor('b' as RecordId);
    expect(seen).toEqual(['0:a', '2:b']);
  });

  it('forgets the oldest ids beyond its capacity', async () => {
    const { log, tail, seen } = setUp({ recentIdCapacity: 2 });
    await log.append(STREAM, ['a', 'b', 'c', 'a', 'c'].map(record));
    tail.start();
    await vi.waitUntil(() => seen.length === 4);
    await tail.catchUp();
    expect(seen).toEqual(['0:a', '1:b', '2:c', '3:a']);
  });

  it('reports a gap of trimmed records before it delivers later ones', async () => {
    const { log, tail, seen } = setUp();
    tail.onTrimmed((gap) => seen.push(`trimmed ${gap.from} to ${gap.first}`));
    await log.append(STREAM, ['a', 'b', 'c'].map(record));
    log.setFaults({ keepCount: 1 });
    tail.start();
    await tail.waitFor('c' as RecordId);
    expect(seen).toEqual(['trimmed 0 to 2', '2:c']);
  });

  it('continues after an outage and is not caught up during it', async () => {
    const { log, tail, seen } = setUp();
    tail.start();
    await tail.catchUp();
    log.setFaults({ outage: true });
    const before = tail.caughtUpAt;
    const isCaughtUp = await tail.catchUp(AbortSignal.timeout(50));
    expect(isCaughtUp).toBe(false);
    log.setFaults({ outage: false });
    await log.append(STREAM, [record('a')]);
    await tail.waitFor('a' as RecordId);
    expect(seen).toEqual(['0:a']);
    expect(tail.caughtUpAt).toBeGreaterThan(before!);
  });

  it('continues when a subscriber throws', async () => {
    const { log, tail, seen } = setUp();
    tail.subscribe(() => {
      throw new Error('broken');
    });
    await log.append(STREAM, [record('a'), record('b')]);
    tail.start();
    await tail.waitFor('b' as RecordId);
    expect(seen).toHaveLength(2);
  });

  it('ends a wait when its signal aborts', async () => {
    const { tail } = setUp();
    tail.start();
    const found = await tail.waitFor('never' as RecordId, AbortSignal.timeout(20));
    expect(isSome(found)).toBe(false);
  });
});

describe('appendOnce', () => {
  it('does not store a record twice when the response is lost, as a plain retry does', async () => {
    const { log, tail, clock, random } = setUp();
    tail.start();
    log.setFaults({ loseAnswers: 1 });
    const retried = record('retried');
    for (let attempt = 0; attempt < 2; attempt += 1) await log.append(STREAM, [retried]);
    expect(await storedIds(log)).toEqual(['retried', 'retried']);

    const offset = await appendOnce(log, tail, STREAM, [record('once')], { clock, random });
    expect(offset._unsafeUnwrap()).toBe(2);
    expect(await storedIds(log)).toEqual(['retried', 'retried', 'once']);
  });

  it('returns the first of two offsets when the first attempt takes effect late', async () => {
    const { log, tail, clock, random, seen, events } = setUp();
    tail.start();
    log.setFaults({ landLate: 1, landLateMs: 150 });
    const append = appendOnce(log, tail, STREAM, [record('a')], { clock, random });
    await vi.waitUntil(() => events.length > 0);
    log.setFaults({ landLate: 0, outage: true });
    await vi.waitUntil(() => events.some((event) => event.outcome === 'landed'));
    log.setFaults({ outage: false });
    const offset = (await append)._unsafeUnwrap();
    await tail.catchUp();
    expect(offset).toBe(0);
    expect(seen).toEqual(['0:a']);
  });

  it('finds the record of an earlier call that gave up and then took effect late', async () => {
    const { log, tail, clock, random, seen } = setUp({ outageAfter: 'late' });
    tail.start();
    log.setFaults({ landLate: 1, landLateMs: 5_000 });
    const options = { clock, random, deadlineMs: 1_000 };
    const gaveUp = await appendOnce(log, tail, STREAM, [record('a')], options);
    expect(gaveUp._unsafeUnwrapErr()).toMatchObject({
      code: 'platform_down',
      run: 'may-have-run',
    });
    await clock.sleep(5_000);
    log.setFaults({ outage: false, landLate: 0 });
    const offset = await appendOnce(log, tail, STREAM, [record('a')], { clock, random });
    expect(offset._unsafeUnwrap()).toBe(0);
    expect(seen).toEqual(['0:a']);
    expect(await storedIds(log)).toEqual(['a']);
  });

  it('returns no offset for an id in doubt that it could not read back', async () => {
    const { log, tail, clock, random } = setUp({ outageAfter: 'answered' });
    tail.start();
    tail.markInDoubt('a' as RecordId);
    const options = { clock, random, deadlineMs: 1_000 };
    const result = await appendOnce(log, tail, STREAM, [record('a')], options);
    expect(result.isErr() && result.error).toMatchObject({
      code: 'platform_down',
      run: 'may-have-run',
    });
  });

  it('fails with not-run when the log was down from the start', async () => {
    const { log, tail, clock, random } = setUp();
    tail.start();
    log.setFaults({ outage: true });
    const options = { clock, random, deadlineMs: 1_000 };
    const result = await appendOnce(log, tail, STREAM, [record('a')], options);
    expect(result._unsafeUnwrapErr()).toMatchObject({ code: 'platform_down', run: 'not-run' });
  });

  it('waits as long as the rate limit asks for', async () => {
    const { log, tail, clock, random, events } = setUp();
    tail.start();
    log.setFaults({ appendsPerSecond: 1 });
    await log.append(STREAM, [record('a')]);
    const result = await appendOnce(log, tail, STREAM, [record('b')], { clock, random });
    expect(result.isOk()).toBe(true);
    expect(events.map((event) => event.outcome)).toContain('limited');
    expect(await storedIds(log)).toEqual(['a', 'b']);
  });
});
