import { RandomSource, type TargetId, type ZoneId } from '@hibiscushill/base';
import * as fc from 'fast-check';
import { isNone, toNullable } from 'fp-ts/Option';
import { describe, expect, it } from 'vitest';

import {
  AffinityTargetPolicy,
  RandomTargetPolicy,
  type TargetView,
  estimateAttempts,
  isAvailable,
} from '../src';
import { createRequest, createTarget } from './fixtures';

const SEED = 20;

const target = fc
  .record({
    id: fc.stringMatching(/^[a-z]{1,3}$/),
    zone: fc.constantFrom('ba', 'nadi', 'suva') as unknown as fc.Arbitrary<ZoneId>,
    inFlight: fc.nat(20),
    sentSinceReport: fc.nat(20),
    leaving: fc.boolean(),
    ejected: fc.boolean(),
    ready: fc.boolean(),
  })
  .map(({ id, ...changes }) => createTarget(id, changes));
const targets = fc.uniqueArray(target, { selector: ({ id }) => id, maxLength: 10 });

function chooseTimes(policy: AffinityTargetPolicy, times: number, views: TargetView[]) {
  return Array.from({ length: times }, () => toNullable(policy.choose(createRequest(), views))?.id);
}

function createLoaded(id: string, running: number, changes: Partial<TargetView> = {}): TargetView {
  const idle = createTarget(id, changes);
  return { ...idle, reported: { ...idle.reported, running } };
}

describe.each([RandomTargetPolicy, AffinityTargetPolicy])('%o', (Policy) => {
  it('chooses a target exactly when one is available and not excluded', () => {
    const property = fc.property(
      targets,
      fc.integer(),
      fc.option(fc.string(), { nil: undefined }),
      (views, seed, affinityKey) => {
        const exclude = new Set(views.slice(0, 2).map(({ id }) => id));
        const policy = new Policy({ random: new RandomSource(seed) });
        const chosen = toNullable(
          policy.choose(createRequest({ exclude, ...(affinityKey && { affinityKey }) }), views),
        );
        const candidates = views.filter((view) => isAvailable(view) && !exclude.has(view.id));
        expect(chosen === null).toBe(candidates.length === 0);
        if (chosen) expect(candidates).toContain(chosen);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });
});

describe('AffinityTargetPolicy', () => {
  const policy = new AffinityTargetPolicy({ random: new RandomSource(SEED) });
  const nadi = { zone: 'nadi' as ZoneId };

  it('stays in its own availability zone while there is a free slot', () => {
    expect(
      new Set(chooseTimes(policy, 50, [createLoaded('own', 7), createLoaded('far', 0, nadi)])),
    ).toEqual(new Set(['own']));
  });

  it('spills over to another availability zone when its own is full', () => {
    expect(chooseTimes(policy, 1, [createLoaded('own', 8), createLoaded('far', 2, nadi)])).toEqual([
      'far',
    ]);
    expect(chooseTimes(policy, 1, [createLoaded('own', 9), createLoaded('far', 9, nadi)])).toEqual([
      'own',
    ]);
  });

  it('counts attempts that were sent since the report', () => {
    const views = [createTarget('a', { sentSinceReport: 3 }), createLoaded('b', 1)];
    expect(chooseTimes(policy, 1, views)).toEqual(['b']);
  });

  it('subtracts attempts that ended since the report, but counts all own open ones', () => {
    const busy = createLoaded('a', 6);
    const ended = { ...busy, inFlight: 1, sentSinceReport: 4, endedSinceReport: 9 };
    expect(estimateAttempts(ended)).toBe(1);
    expect(estimateAttempts({ ...ended, inFlight: 3 })).toBe(3);
    expect(chooseTimes(policy, 1, [ended, createLoaded('b', 2)])).toEqual(['a']);
  });

  it('keeps a key at one target, and moves only the keys of a leaving target', () => {
    const views = Array.from({ length: 6 }, (_, index) => createTarget(`t${index}`));
    const keys = Array.from({ length: 300 }, (_, index) => `prefix-${index}`);
    const place = (from: TargetView[]) =>
      keys.map(
        (affinityKey) => toNullable(policy.choose(createRequest({ affinityKey }), from))?.id,
      );
    const before = place(views);
    const after = place(views.map((view, at) => ({ ...view, leaving: at === 0 })));
    const moved = before.filter((id, at) => id !== after[at]);
    expect(place(views)).toEqual(before);
    expect(new Set(moved)).toEqual(new Set(['t0']));
  });

  it('gives up affinity when the load of the preferred target is above the load factor', () => {
    const views = Array.from({ length: 4 }, (_, index) => createTarget(`t${index}`));
    const req = createRequest({ affinityKey: 'prefix' });
    const preferred = toNullable(policy.choose(req, views))?.id as TargetId;
    const loaded = views.map((view) => (view.id === preferred ? createLoaded(view.id, 6) : view));
    expect(toNullable(policy.choose(req, loaded))?.id).not.toBe(preferred);
  });

  it('requires the lowest weight version that the request allows', () => {
    const requiredWeights = { trainer: 'rinds' as never, minVersion: 4 as never };
    const views = [
      createTarget('a', { weights: new Map([[requiredWeights.trainer, 3 as never]]) }),
    ];
    expect(isNone(policy.choose(createRequest({ requiredWeights }), views))).toBe(true);
  });
});
