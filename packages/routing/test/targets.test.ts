import { type InstanceId, ManualClock, type MonoTime, type TargetId } from '@hibiscushill/base';
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { OutlierEjector, WaitEstimator, chooseTargetSubset } from '../src';
import { createTarget } from './fixtures';

const SEED = 71;

function listIds<T extends string>(prefix: string, count: number): T[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}` as T);
}

describe('the subset of targets for an entry', () => {
  const sizes = fc.tuple(
    fc.integer({ min: 1, max: 20 }),
    fc.integer({ min: 1, max: 30 }),
    fc.integer({ min: 1, max: 12 }),
  );

  it('covers the targets evenly when the list of entries is given', () => {
    const property = fc.property(sizes, ([entryCount, targetCount, size]) => {
      const entries = listIds<InstanceId>('entry', entryCount);
      const targets = listIds<TargetId>('target', targetCount);
      const counts = new Map(targets.map((target) => [target, 0]));
      entries.forEach((entry) => {
        const subset = chooseTargetSubset(entry, targets, size, { entries });
        expect(new Set(subset).size).toBe(Math.min(size, targetCount));
        subset.forEach((target) => counts.set(target, (counts.get(target) as number) + 1));
      });
      const mean = (entryCount * Math.min(size, targetCount)) / targetCount;
      expect(Math.max(...counts.values())).toBeLessThanOrEqual(Math.ceil(mean));
    });
    fc.assert(property, { seed: SEED, numRuns: 100 });
  });

  it('does not depend on the order of the targets or of the entries', () => {
    const entries = listIds<InstanceId>('entry', 5);
    const targets = listIds<TargetId>('target', 30);
    const choose = (from: TargetId[], among: InstanceId[]) =>
      chooseTargetSubset('entry-2' as InstanceId, from, 8, { entries: among });
    expect(choose([...targets].reverse(), [...entries].reverse())).toEqual(
      choose(targets, entries),
    );
  });

  it('replaces only a target that left when the list of entries is not given', () => {
    const targets = listIds<TargetId>('target', 30);
    const before = chooseTargetSubset('entry-0' as InstanceId, targets, 8);
    targets.forEach((gone) => {
      const rest = targets.filter((target) => target !== gone);
      const after = chooseTargetSubset('entry-0' as InstanceId, rest, 8);
      const kept = before.filter((target) => after.includes(target));
      expect(kept).toHaveLength(before.includes(gone) ? 7 : 8);
    });
  });
});

describe('outlier ejection', () => {
  function createEjector(count: number) {
    const clock = new ManualClock();
    const ejector = new OutlierEjector({ clock });
    const targets = listIds<TargetId>('t', count);
    ejector.setTargets(targets);
    return { clock, ejector, targets, first: targets[0] as TargetId };
  }

  it('ejects after consecutive failures, and a response resets their count', () => {
    const { ejector, first } = createEjector(3);
    const fail = (times: number) =>
      Array.from({ length: times }, () => ejector.recordOutcome(first, 'failed'));
    fail(4);
    ejector.recordOutcome(first, 'answered');
    fail(4);
    expect(ejector.isEjected(first)).toBe(false);
    fail(1);
    expect(ejector.isEjected(first)).toBe(true);
  });

  it('sends one probe after an ejection, and ejects for longer when the probe fails', () => {
    const { clock, ejector, first } = createEjector(3);
    ejector.recordOutcome(first, 'silent');
    clock.advance(1000);
    expect(ejector.isEjected(first)).toBe(false);
    ejector.recordSent(first);
    expect(ejector.isEjected(first)).toBe(true);
    ejector.recordOutcome(first, 'failed');
    clock.advance(1999);
    expect(ejector.isEjected(first)).toBe(true);
    clock.advance(1);
    ejector.recordSent(first);
    ejector.recordOutcome(first, 'answered');
    expect(ejector.isEjected(first)).toBe(false);
  });

  it('allows another probe when the first is lost', () => {
    const { clock, ejector, first } = createEjector(3);
    ejector.recordOutcome(first, 'silent');
    clock.advance(1000);
    ejector.recordSent(first);
    clock.advance(2000);
    expect(ejector.isEjected(first)).toBe(false);
  });

  it('never ejects more than the allowed fraction of the targets', () => {
    const event = fc.tuple(fc.nat(9), fc.constantFrom('sent', 'answered', 'failed', 'silent'));
    const property = fc.property(
      fc.integer({ min: 1, max: 10 }),
      fc.array(event),
      (count, events) => {
        const { clock, ejector, targets } = createEjector(count);
        events.forEach(([at, kind]) => {
          const target = targets[at % count] as TargetId;
          if (kind === 'sent') ejector.recordSent(target);
          else ejector.recordOutcome(target, kind);
          clock.advance(200);
          const ejected = targets.filter((id) => ejector.isEjected(id)).length;
          expect(ejected).toBeLessThanOrEqual(Math.floor(count * 0.34));
        });
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

describe('WaitEstimator', () => {
  const id = 't-0' as TargetId;
  const createReport = (queued: number, served: number, receivedAt: number) => ({
    queued,
    served,
    receivedAt: receivedAt as MonoTime,
  });
  const createView = (queued: number, running = 8) => {
    const target = createTarget(id);
    return { ...target, reported: { ...target.reported, queued, running } };
  };

  it('divides the queue length by the throughput under load', () => {
    const estimator = new WaitEstimator();
    estimator.recordReport(id, createReport(10, 0, 0));
    estimator.recordReport(id, createReport(10, 50, 1000));
    expect(estimator.estimate([createView(20)])).toBe(400);
    expect(estimator.estimate([createView(20), createTarget('free')])).toBe(0);
    expect(estimator.estimate([createView(0, 2)])).toBe(0);
  });

  it('does not mistake the arrival rate of an idle target for its throughput', () => {
    const estimator = new WaitEstimator();
    estimator.recordReport(id, createReport(0, 0, 0));
    estimator.recordReport(id, createReport(0, 1, 1000));
    expect(estimator.estimate([createView(20)])).toBe(0);
  });
});
