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

function withLoad(id: string, running: number, changes: Partial<TargetView> = {}): TargetView {
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
        const usable = views.filter((view) => isAvailable(view) && !exclude.has(view.id));
        expect(chosen === null).toBe(usable.length === 0);
        if (chosen) expect(usable).toContain(chosen);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });
});

describe('AffinityTargetPolicy', () => {
  const policy = new AffinityTargetPolicy({ random: new RandomSource(SEED) });
  const nadi = { zone: 'nadi' as ZoneId };

  it('stays in its own availability zone while that has a free slot', () => {
    expect(
      new Set(chooseTimes(policy, 50, [withLoad('own', 7), withLoad('far', 0, nadi)])),
    ).toEqual(new Set(['own']));
  });

  it('spills over to another availability zone when its own is full', () => {
    expect(chooseTimes(policy, 1, [withLoad('own', 8), withLoad('far', 2, nadi)])).toEqual(['far']);
    expect(chooseTimes(policy, 1, [withLoad('own', 9), withLoad('far', 9, nadi)])).toEqual(['own']);
  });

  it('counts what was sent since the report', () => {
    const views = [createTarget('a', { sentSinceReport: 3 }), withLoad('b', 1)];
    expect(chooseTimes(policy, 1, views)).toEqual(['b']);
  });

  it('takes off what has ended since the report, but never below its own attempts', () => {
    const busy = withLoad('a', 6);
    const ended = { ...busy, inFlight: 1, sentSinceReport: 4, endedSinceReport: 9 };
    expect(estimateAttempts(ended)).toBe(1);
    expect(estimateAttempts({ ...ended, inFlight: 3 })).toBe(3);
    expect(chooseTimes(policy, 1, [ended, withLoad('b', 2)])).toEqual(['a']);
  });

  it('keeps a key at one target, and moves only the keys of a target that leaves', () => {
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

  it('gives affinity up when the preferred target is above its bound', () => {
    const views = Array.from({ length: 4 }, (_, index) => createTarget(`t${index}`));
    const req = createRequest({ affinityKey: 'prefix' });
    const preferred = toNullable(policy.choose(req, views))?.id as TargetId;
    const loaded = views.map((view) => (view.id === preferred ? withLoad(view.id, 6) : view));
    expect(toNullable(policy.choose(req, loaded))?.id).not.toBe(preferred);
  });

  it('asks for the least weight version', () => {
    const weights = { trainer: 'rinds' as never, least: 4 as never };
    const views = [createTarget('a', { weights: new Map([[weights.trainer, 3 as never]]) })];
    expect(isNone(policy.choose(createRequest({ weights }), views))).toBe(true);
  });
});
