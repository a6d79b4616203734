import { type InstanceId, type IncarnationId, ManualClock, type Offset } from '@hibiscushill/base';
import type { FencedSender } from '@hibiscushill/control';
import { type LogPage, MemoryLog } from '@hibiscushill/log';
import { ResultAsync, okAsync } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';

import { type TeamCounts, UsageSink } from '../src/control-port';
import { UsageTracker } from '../src/usage-tracker';
import { LocalCounts, WindowCounts } from '../src/window-counts';
import { TEAM, createMetrics, logger, advance, runPendingCallbacks } from './support';

const WINDOW_MS = 5_000;
// The time after a window's end within which its report is due.
const REPORT_DUE_MS = 10_000;

class RecordingSink extends UsageSink {
  readonly reports: { window: number; counts: TeamCounts; at: number }[] = [];

  override report(window: number, counts: TeamCounts): ResultAsync<void, never> {
    this.reports.push({ window, counts, at: clock.mono() });
    return okAsync(undefined);
  }
}

let clock: ManualClock;
let log: MemoryLog;
let counts: WindowCounts;
let localCounts: LocalCounts;
let sink: RecordingSink;
let tracker: UsageTracker;
let read: number;

beforeEach(() => {
  clock = new ManualClock(50_000);
  log = new MemoryLog({ clock });
  counts = new WindowCounts(WINDOW_MS);
  localCounts = new LocalCounts('p1' as IncarnationId);
  sink = new RecordingSink();
  read = 0;
  // The lease can't be renewed while the log is unavailable.
  const send = (order: (fencing: number, guard: object) => unknown): unknown =>
    log.faults.outage ? okAsync(undefined) : order(1, {});
  tracker = new UsageTracker({
    clock,
    metrics: createMetrics(),
    logger,
    log,
    windowCounts: counts,
    localCounts,
    sink,
    sender: { send } as unknown as FencedSender,
    holder: 'n1' as InstanceId,
  });
});

function applyPage(page: LogPage): void {
  page.records.forEach((record) => counts.apply(record));
  read = page.next;
  tracker.processDueWindows();
}

async function run(ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    await advance(clock, 100, 100);
    const page = await log.read('usage', read as Offset);
    if (page.isOk()) applyPage(page.value);
    await runPendingCallbacks();
  }
}

describe('a usage window', () => {
  it('includes requests that are counted up to two seconds after its end', async () => {
    await run(4_900);
    const startedAt = clock.wall();
    await run(2_000);
    tracker.count(TEAM, startedAt);
    await run(8_000);
    expect(sink.reports.find(({ window }) => window === 10)?.counts).toEqual({ [TEAM]: 1 });
  });

  it.each([0, 1_000, 2_000, 3_000, 4_000])(
    'is reported in time although the log is unavailable for seven seconds, from %d ms after its end',
    async (afterMs) => {
      tracker.count(TEAM, clock.wall());
      await run(WINDOW_MS + afterMs);
      log.setFaults({ outage: true });
      await run(7_000);
      log.setFaults({ outage: false });
      await run(3_000);
      const report = sink.reports.find(({ window }) => window === 10);
      expect(report?.counts).toEqual({ [TEAM]: 1 });
      expect(report?.at).toBeLessThanOrEqual(55_000 + REPORT_DUE_MS);
    },
  );

  it('takes no memory long after its report, however many windows there are', async () => {
    const sizes: number[] = [];
    for (let window = 10; window < 310; window += 1) {
      tracker.count(TEAM, clock.wall());
      await run(WINDOW_MS);
      sizes.push(counts.size + localCounts.size + tracker.size);
    }
    expect(Math.max(...sizes.slice(100))).toBeLessThanOrEqual(Math.max(...sizes.slice(0, 100)));
    expect(Math.max(...sizes)).toBeLessThanOrEqual(150);
    const windows = sink.reports.map((report) => report.window);
    expect(new Set(windows).size).toBe(windows.length);
    expect(windows.length).toBeGreaterThan(295);
    expect(sink.reports.every((report) => report.counts[TEAM] === 1)).toBe(true);
  });

  it('is not reported again with other counts when the wall clock steps back', async () => {
    for (let window = 10; window < 110; window += 1) {
      tracker.count(TEAM, clock.wall());
      await run(WINDOW_MS);
    }
    const before = sink.reports.length;
    expect(before).toBeGreaterThan(90);
    // A holder that has just gained the duty, whose clock is 80 windows behind.
    tracker.forgetReported();
    const late = new ManualClock(clock.wall() - 80 * WINDOW_MS);
    const successor = new UsageTracker({
      clock: late,
      metrics: createMetrics(),
      logger,
      log,
      windowCounts: counts,
      localCounts: new LocalCounts('p2' as IncarnationId),
      sink,
      sender: {
        send: (order: (fencing: number, guard: object) => unknown) => order(2, {}),
      } as unknown as FencedSender,
      holder: 'n2' as InstanceId,
    });
    for (let turn = 0; turn < 20; turn += 1) {
      successor.processDueWindows();
      await run(100);
    }
    const repeated = sink.reports.slice(before);
    expect(repeated.filter((report) => report.counts[TEAM] !== 1)).toEqual([]);
  });
});
