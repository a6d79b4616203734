import type { Millis, SoftwareVersion, TargetId, WeightVersion } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { EngineView, WaitingItem } from '../src/engine-view';
import { BalancedPlacement } from '../src/placement';
import { NaivePlacement } from './naive-placement';
import { version } from './support';

const OLD = '1.4.0' as SoftwareVersion;
const NEW = '1.5.0' as SoftwareVersion;

function engine(id: string, changes: Partial<EngineView> = {}): EngineView {
  return {
    id: id as TargetId,
    running: 0,
    slots: 2,
    startsLeft: Infinity,
    version: version(3),
    software: OLD,
    isLoading: false,
    msPerEvent: 35,
    isSpeedFresh: true,
    ...changes,
  };
}

function item(group: string, changes: Partial<WaitingItem> = {}): WaitingItem {
  return {
    group,
    leastVersion: version(2),
    requiredVersion: undefined,
    begun: undefined,
    avoidedEngines: new Set(),
    ...changes,
  };
}

function place(
  items: readonly WaitingItem[],
  engines: readonly EngineView[],
  waitedMs: Millis = 0,
): string[] {
  return new BalancedPlacement()
    .place(items, engines, () => waitedMs)
    .map(({ item: { group }, engine: id, beginsAgain }) =>
      beginsAgain ? `${group}@${id} again` : `${group}@${id}`,
    );
}

describe('the placement of items', () => {
  it('starts no more items than the engines have free slots', () => {
    const items = ['a', 'b', 'c', 'd', 'e'].map((group) => item(group));
    expect(place(items, [engine('x'), engine('y')])).toEqual(['a@x', 'b@y', 'c@x', 'd@y']);
  });

  it('sends the items of a group to the engine that has their prompt in its cache', () => {
    const engines = [engine('x', { slots: 8 }), engine('y', { slots: 8 })];
    expect(place([item('a'), item('b'), item('a'), item('a')], engines)).toEqual([
      'a@x',
      'b@y',
      'a@x',
      'a@x',
    ]);
  });

  it('starts nothing on engines whose weights are too old or are being changed', () => {
    const engines = [engine('x', { version: version(1) }), engine('y', { isLoading: true })];
    expect(place([item('a')], engines)).toEqual([]);
  });

  it('resumes an output that must not mix versions only under its own version', () => {
    const engines = [engine('x', { version: version(4) }), engine('y')];
    const only = item('a', { requiredVersion: 3 as WeightVersion });
    expect(place([only], engines)).toEqual(['a@y']);
  });

  it('does not use a slow engine for a short backlog', () => {
    const engines = [engine('x', { running: 2 }), engine('slow', { msPerEvent: 140 })];
    expect(place([item('a')], engines)).toEqual([]);
  });

  it('uses slow engines as well for a long backlog', () => {
    const items = Array.from({ length: 6 }, (_, index) => item(`g${index}`));
    const engines = [engine('x', { running: 2 }), engine('slow', { msPerEvent: 140 })];
    expect(place(items, engines)).toEqual(['g0@slow', 'g1@slow']);
  });

  it('probes an engine whose slow speed is out of date with one item', () => {
    const stale = engine('was-slow', { msPerEvent: 140, isSpeedFresh: false });
    const items = ['a', 'b', 'c', 'd'].map((group) => item(group));
    expect(place(items, [engine('x'), stale])).toEqual(['a@x', 'b@x', 'c@was-slow']);
  });

  it('starts no more items at an engine than its limit allows now', () => {
    const items = ['a', 'b', 'c', 'd'].map((group) => item(group));
    const engines = [engine('limited', { startsLeft: 1 }), engine('x')];
    expect(place(items, engines)).toEqual(['a@limited', 'b@x', 'c@x']);
    expect(place(items, [engine('limited', { startsLeft: 0 })])).toEqual([]);
  });

  it('avoids an engine on which the item failed, unless it is the only one', () => {
    const avoid = new Set(['x' as TargetId]);
    expect(place([item('a', { avoidedEngines: avoid })], [engine('x'), engine('y')])).toEqual([
      'a@y',
    ]);
    expect(place([item('a', { avoidedEngines: avoid })], [engine('x')])).toEqual(['a@x']);
  });
});

describe('the placement of items whose output has begun', () => {
  const begun = { events: 10, software: OLD };
  const engines = [engine('old', { running: 1 }), engine('new', { software: NEW })];

  it('goes on only at the software version that began it', () => {
    expect(place([item('a', { begun })], engines)).toEqual(['a@old']);
  });

  it('does not follow its group to an engine of another version', () => {
    const items = [item('a'), item('a', { begun })];
    expect(place(items, engines)).toEqual(['a@new', 'a@old']);
  });

  it('waits as long as it would take to begin again, and then begins again', () => {
    const full = [engine('old', { running: 2 }), engine('new', { software: NEW })];
    expect(place([item('a', { begun })], full, 349)).toEqual([]);
    expect(place([item('a', { begun })], full, 351)).toEqual(['a@new again']);
    expect(place([item('a', { begun: { ...begun, events: 1_000 } })], full, 2_001)).toEqual([
      'a@new again',
    ]);
  });

  it('begins again at once when its version has left', () => {
    const left = [engine('new', { software: NEW })];
    expect(place([item('a', { begun })], left, Infinity)).toEqual(['a@new again']);
  });

  // review/3: an item kept its weight version although no engine could go on with its output.
  it('begins again at another weight version when its own has no free slot for too long', () => {
    const views = [
      engine('full', { running: 2 }),
      engine('newer', { version: version(4) }),
      engine('older', { version: version(1) }),
    ];
    const single = item('a', { begun, requiredVersion: version(3) });
    expect(place([single], views, 349)).toEqual([]);
    expect(place([single], views, 351)).toEqual(['a@newer again']);
    expect(place([single], views.slice(1), Infinity)).toEqual(['a@newer again']);
  });

  it('leaves the slots to items that fit before any begins again', () => {
    const full = [engine('old', { running: 2 }), engine('new', { software: NEW, slots: 1 })];
    expect(place([item('a', { begun }), item('b')], full, 9_000)).toEqual(['b@new']);
  });

  it('is any software version when it has no output', () => {
    expect(place([item('a')], [engine('new', { software: NEW })])).toEqual(['a@new']);
  });
});

describe('the placement by an index', () => {
  const software = fc.constantFrom(OLD, NEW, undefined);
  const engineView = (id: string): fc.Arbitrary<EngineView> =>
    fc.record({
      id: fc.constant(id as TargetId),
      running: fc.integer({ min: 0, max: 4 }),
      slots: fc.integer({ min: 1, max: 4 }),
      startsLeft: fc.constantFrom(Infinity, 0, 1, 3),
      version: fc.integer({ min: 1, max: 3 }).map(version),
      software,
      isLoading: fc.boolean(),
      msPerEvent: fc.constantFrom(undefined, 20, 30, 35, 140),
      isSpeedFresh: fc.boolean(),
    });
  const engines = fc
    .integer({ min: 0, max: 9 })
    .chain((count) => fc.tuple(...Array.from({ length: count }, (_, at) => engineView(`e${at}`))));
  const waiting: fc.Arbitrary<WaitingItem> = fc.record({
    group: fc.constantFrom('a', 'b', 'c'),
    leastVersion: fc.integer({ min: 1, max: 4 }).map(version),
    requiredVersion: fc.option(fc.integer({ min: 1, max: 3 }).map(version), { nil: undefined }),
    begun: fc.option(fc.record({ events: fc.integer({ min: 1, max: 40 }), software }), {
      nil: undefined,
    }),
    avoidedEngines: fc
      .array(fc.integer({ min: 0, max: 9 }), { maxLength: 3 })
      .map((ids) => new Set(ids.map((id) => `e${id}` as TargetId))),
  });

  it('chooses as one that considers every engine for each item', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.array(waiting, { maxLength: 30 }), engines), { maxLength: 4 }),
        fc.constantFrom(0, 500, Infinity),
        (rounds, waitedMs) => {
          const indexed = new BalancedPlacement();
          const naive = new NaivePlacement();
          rounds.forEach(([items, views]) => {
            const getWaitMs = (): Millis => waitedMs;
            expect(indexed.place(items, views, getWaitMs)).toEqual(
              naive.place(items, views, getWaitMs),
            );
          });
        },
      ),
      { numRuns: 1_000 },
    );
  });
});
