import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  type DisabledSafeguards,
  createEvents,
  findOlderAfterNewer,
  runSchedule,
} from './order-schedules';

const RUNS = 60;

async function runSchedules(seed: number, disabled: DisabledSafeguards = {}) {
  let orders = 0;
  const property = fc.asyncProperty(createEvents(), async (events) => {
    const received = await runSchedule(events, disabled);
    orders += received.length;
    return findOlderAfterNewer(received) === undefined;
  });
  const details = await fc.check(property, { seed, numRuns: RUNS, endOnFailure: true });
  return { isSafe: !details.failed, orders };
}

describe('orders under a duty', () => {
  it('are checked: an order of an earlier holder after one of a later holder is found', () => {
    const received = [3, 3, 9, 9, 3].map((fencing, at) => ({ fencing, at }));
    expect(findOlderAfterNewer(received)).toEqual({ fencing: 3, at: 4 });
  });

  it.each([1, 2])(
    'of an earlier holder never arrive after one of a later holder (seed %i)',
    async (seed) => {
      const { isSafe, orders } = await runSchedules(seed);
      expect(isSafe).toBe(true);
      expect(orders).toBeGreaterThan(1_000);
    },
  );

  it('arrive too late when candidates wait only for the end of the lease', async () => {
    const { isSafe } = await runSchedules(1, { waitMargin: true });
    expect(isSafe).toBe(false);
  });

  it('arrive too late when they are written after the tick of the check', async () => {
    const { isSafe } = await runSchedules(1, { sameTickWrite: true });
    expect(isSafe).toBe(false);
  });
});
