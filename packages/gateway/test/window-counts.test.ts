import { type IncarnationId, type Offset, type TeamId, type WallTime } from '@hibiscushill/base';
import type { NewRecord } from '@hibiscushill/log';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { LocalCounts, WindowCounts, createClosedRecord } from '../src/window-counts';
import { TEAM } from './support';

function apply(counts: WindowCounts, records: readonly NewRecord[]): void {
  records.forEach(({ id, kind, payload }) => {
    const copy = JSON.parse(JSON.stringify(payload)) as unknown;
    counts.apply({
      id,
      kind,
      payload: copy,
      offset: 0 as Offset,
      appendedAt: 0 as WallTime,
    });
  });
}

describe('the counts of a window', () => {
  it('are the sum over all processes, however often each repeats its records', () => {
    const counts = new WindowCounts(5_000);
    const [one, two] = [
      new LocalCounts('p1' as IncarnationId),
      new LocalCounts('p2' as IncarnationId),
    ];
    one.count(7, TEAM);
    const first = one.takeRecords().records;
    one.count(7, TEAM);
    two.count(7, TEAM);
    apply(counts, [...first, ...one.takeRecords().records, ...two.takeRecords().records, ...first]);
    expect(counts.sum(7)).toEqual({ [TEAM]: 3 });
  });

  it('are fixed by the first record that closes the window', () => {
    const counts = new WindowCounts(5_000);
    apply(counts, [createClosedRecord(7, { [TEAM]: 3 }), createClosedRecord(7, { [TEAM]: 4 })]);
    expect(counts.findClosed(7)).toEqual({ [TEAM]: 3 });
  });

  it('are written again after a failed append', () => {
    const localCounts = new LocalCounts('p1' as IncarnationId);
    localCounts.count(7, TEAM);
    const { windows } = localCounts.takeRecords();
    expect(localCounts.takeRecords().records).toEqual([]);
    localCounts.markUnwritten(windows);
    expect(localCounts.takeRecords().records).toHaveLength(1);
  });

  it('are not opened again by a late record after the window was closed', () => {
    const counts = new WindowCounts(5_000);
    const localCounts = new LocalCounts('p1' as IncarnationId);
    localCounts.count(7, TEAM);
    apply(counts, [createClosedRecord(7, { [TEAM]: 3 }), ...localCounts.takeRecords().records]);
    expect(counts.sum(7)).toEqual({});
    expect(counts.findClosed(7)).toEqual({ [TEAM]: 3 });
    expect(counts.size).toBe(1);
  });

  it('are forgotten long after the window was closed, and are then fixed for good', () => {
    const counts = new WindowCounts(5_000);
    const localCounts = new LocalCounts('p1' as IncarnationId);
    for (let window = 0; window < 1_000; window += 1) {
      localCounts.count(window, TEAM);
      const { records } = localCounts.takeRecords();
      apply(counts, [...records, createClosedRecord(window, { [TEAM]: 1 })]);
      localCounts.forget((one) => counts.isFixed(one));
      expect(counts.size).toBeLessThanOrEqual(70);
      expect(localCounts.size).toBeLessThanOrEqual(70);
    }
    apply(counts, [createClosedRecord(3, { [TEAM]: 9 })]);
    expect(counts.findClosed(3)).toBeUndefined();
    expect(counts.isFixed(3)).toBe(true);
    expect(counts.isFixed(1_000)).toBe(false);
    expect(counts.firstWindow).toBeGreaterThan(900);
  });

  it('do not depend on the order in which records arrive', () => {
    const teams = ['a', 'b'] as TeamId[];
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom(...teams), { maxLength: 12 }),
        fc.nat(),
        (order, seed) => {
          const localCounts = new LocalCounts('p1' as IncarnationId);
          const records = order.flatMap((team) => {
            localCounts.count(1, team);
            return localCounts.takeRecords().records;
          });
          const shuffled = records
            .map((record, index) => ({ record, key: (index * 7919 + seed) % 13 }))
            .sort((x, y) => x.key - y.key)
            .map(({ record }) => record);
          const [inOrder, outOfOrder] = [new WindowCounts(1), new WindowCounts(1)];
          apply(inOrder, records);
          apply(outOfOrder, shuffled);
          expect(outOfOrder.sum(1)).toEqual(inOrder.sum(1));
        },
      ),
      { seed: 11, numRuns: 100 },
    );
  });
});
