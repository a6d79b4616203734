import {
  ManualClock,
  type RegionId,
  type SoftwareVersion,
  type TargetId,
  type ZoneId,
} from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ConfigTracker } from '../src/config-tracker';
import { EngineTracker } from '../src/engine-tracker';
import type { EngineView } from '../src/engine-view';
import type { ItemRun } from '../src/item-run';
import { findFastest, isSlow } from '../src/placement';
import { type EngineRunSummary, RunTracker } from '../src/run-tracker';
import { TargetDirectory } from '../src/target-directory';
import {
  MODEL,
  SERVICE,
  TEAM,
  createConfig,
  createLimiter,
  createMetrics,
  createRoute,
  createTarget,
  version,
} from './support';

/** An engine, and the least versions of the runs at it. */
interface EngineCase {
  readonly slots: number;
  readonly version: number;
  readonly software: SoftwareVersion | undefined;
  readonly isLoading: boolean;
  readonly isBackedOff: boolean;
  readonly msPerEvent: number | undefined;
  readonly runs: readonly number[];
}

function createRunTracker(cases: readonly EngineCase[]): RunTracker {
  const clock = new ManualClock(1_000);
  const config = new ConfigTracker({ clock, metrics: createMetrics(), withdrawnKeyMs: 5_000 });
  const directory = new TargetDirectory({ clock, metrics: createMetrics() });
  const engineTracker = new EngineTracker(clock, directory);
  const tracker = new RunTracker(engineTracker, config, createLimiter(clock));
  cases.forEach((one, index) => {
    const engine = createTarget(`e${index}`, {
      slots: one.slots,
      software: one.software,
      versions: new Map([[MODEL, version(one.version)]]),
    });
    directory.recordRegistration(engine);
    if (one.isLoading) engineTracker.markLoading(engine, MODEL, 1_000);
    if (one.isBackedOff) engineTracker.recordFailure(engine);
    if (one.msPerEvent !== undefined) engineTracker.recordSpeed(engine, one.msPerEvent);
    one.runs.forEach((leastVersion) =>
      tracker.add({ engine, model: MODEL, task: { leastVersion } } as unknown as ItemRun),
    );
  });
  return tracker;
}

/** Summarizes one engine by looking at all others. */
function summarizeNaively(cases: readonly EngineCase[], at: number): EngineRunSummary {
  const views = cases.map((one, index): EngineView => ({
    ...one,
    id: `e${index}` as TargetId,
    version: version(one.version),
    running: one.runs.length,
    startsLeft: Infinity,
    isSpeedFresh: one.msPerEvent !== undefined,
  }));
  const own = views[at]!;
  const { runs, isBackedOff } = cases[at]!;
  const healthy = views.filter((_, index) => !cases[index]?.isBackedOff);
  const leastVersion = Math.max(1, ...runs);
  const freeSlots = healthy
    .filter((view) => view !== own && !view.isLoading && view.version >= leastVersion)
    .filter((view) => view.software === own.software)
    .reduce((sum, view) => sum + Math.max(0, view.slots - view.running), 0);
  const isSlowNow = own.isSpeedFresh && isSlow(own, findFastest(healthy));
  return {
    running: runs.length,
    canMoveRuns: runs.length <= freeSlots,
    isDegraded: isSlowNow || isBackedOff,
  };
}

describe('the summaries of the runs at all engines', () => {
  const engineCase: fc.Arbitrary<EngineCase> = fc.record({
    slots: fc.integer({ min: 1, max: 4 }),
    version: fc.integer({ min: 1, max: 3 }),
    software: fc.constantFrom('1.4.0' as SoftwareVersion, '1.5.0' as SoftwareVersion, undefined),
    isLoading: fc.boolean(),
    isBackedOff: fc.boolean(),
    msPerEvent: fc.constantFrom(undefined, 20, 30, 140),
    runs: fc.array(fc.integer({ min: 1, max: 3 }), { maxLength: 5 }),
  });

  it('are those that looking at all other engines for each one gives', () => {
    fc.assert(
      fc.property(fc.array(engineCase, { maxLength: 8 }), (cases) => {
        const summaries = createRunTracker(cases).summarizeRuns(SERVICE, MODEL);
        expect(summaries.size).toBe(cases.length);
        cases.forEach((_, at) => {
          expect(summaries.get(`e${at}` as TargetId)).toEqual(summarizeNaively(cases, at));
        });
      }),
      { numRuns: 500 },
    );
  });
});

describe('the runs of an item', () => {
  it('are found until they are removed', () => {
    const tracker = createRunTracker([]);
    const task = { leastVersion: 1 };
    const run = { engine: createTarget('e1'), model: MODEL, task } as unknown as ItemRun;
    tracker.add(run);
    expect(tracker.listRunsOf(run.task)).toEqual([run]);
    tracker.remove(run);
    expect(tracker.listRunsOf(run.task)).toEqual([]);
    expect(tracker.runs).toEqual([]);
  });
});

describe('runs whose output must not mix weight versions', () => {
  const SINGLE_VERSION_TASK = { leastVersion: 1, requiredVersion: version(1) };

  /** Creates a slow engine with one run, and a fast one with other weights or the same. */
  function createRunBesideFast(fastVersion: number): { tracker: RunTracker; run: ItemRun } {
    const cases = [1, fastVersion].map((number, index) => ({
      slots: 4,
      version: number,
      software: undefined,
      isLoading: false,
      isBackedOff: false,
      msPerEvent: index === 0 ? 140 : 20,
      runs: [],
    }));
    const tracker = createRunTracker(cases);
    const engine = createTarget('e0', { slots: 4, software: undefined });
    const run = { engine, model: MODEL, task: SINGLE_VERSION_TASK } as unknown as ItemRun;
    tracker.add(run);
    return { tracker, run };
  }

  it('are moved to engines with the same weights', () => {
    const { tracker, run } = createRunBesideFast(1);
    expect(tracker.summarizeRuns(SERVICE, MODEL).get(run.engine.id)?.canMoveRuns).toBe(true);
  });

  // review/3: free slots of engines with newer weights counted as a place for them.
  it('are not moved off the last engine with their weights', () => {
    const { tracker, run } = createRunBesideFast(2);
    expect(tracker.summarizeRuns(SERVICE, MODEL).get(run.engine.id)?.canMoveRuns).toBe(false);
  });
});

describe('runs that may not run in all regions', () => {
  const ZONES = ['zone-eu', 'zone-us'] as [ZoneId, ZoneId];
  const zoneRegions = new Map([
    [ZONES[0], 'eu' as RegionId],
    [ZONES[1], 'us' as RegionId],
  ]);

  /** Creates a slow engine in `eu` with one run, and a fast one in another zone. */
  function createSlowRun(fastZone: ZoneId): { tracker: RunTracker; run: ItemRun } {
    const clock = new ManualClock(1_000);
    const metrics = createMetrics();
    const config = new ConfigTracker({ clock, metrics, withdrawnKeyMs: 5_000, zoneRegions });
    config.updateConfig(createConfig(1, [createRoute({ allowedRegions: ['eu' as RegionId] })]));
    const directory = new TargetDirectory({ clock, metrics });
    const engineTracker = new EngineTracker(clock, directory);
    const tracker = new RunTracker(engineTracker, config, createLimiter(clock));
    const slow = createTarget('slow', { zone: ZONES[0] });
    const fast = createTarget('fast', { zone: fastZone });
    [slow, fast].forEach((engine) => directory.recordRegistration(engine));
    engineTracker.recordSpeed(slow, 400);
    engineTracker.recordSpeed(fast, 20);
    const submission = { terms: { host: 'a.example', team: TEAM } };
    const task = { leastVersion: 1, submission, spec: { path: '/a/1' } };
    const run = { engine: slow, model: MODEL, task } as unknown as ItemRun;
    tracker.add(run);
    return { tracker, run };
  }

  it('are not moved to fast engines with other weights than their output may go on with', () => {
    const { tracker, run } = createSlowRun(ZONES[0]);
    tracker.remove(run);
    const task = { ...run.task, requiredVersion: version(2) };
    tracker.add({ ...run, task } as unknown as ItemRun);
    expect(tracker.listMovableRuns()).toEqual([]);
  });

  it('are moved to fast engines in their regions', () => {
    const { tracker, run } = createSlowRun(ZONES[0]);
    expect(tracker.listMovableRuns()).toEqual([run]);
    expect(tracker.summarizeRuns(SERVICE, MODEL).get(run.engine.id)?.canMoveRuns).toBe(true);
  });

  it('are not moved for fast engines in others, where they may not go on', () => {
    const { tracker, run } = createSlowRun(ZONES[1]);
    expect(tracker.listMovableRuns()).toEqual([]);
    expect(tracker.summarizeRuns(SERVICE, MODEL).get(run.engine.id)?.canMoveRuns).toBe(false);
    expect(tracker.listEngines(run.task).map(({ id }) => id)).toEqual(['slow']);
  });
});
