import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { type Weakness, createEvents, findOlderAfterNewer, runSchedule } from './order-schedules';

const RUNS = 60;

async function checkSchedules(seed: number, weakness: Weakness = {}) {
  let orders = 0;
  const property = fc.asyncProperty(createEvents(), async (events) => {
    const seen = await runSchedule(events, weakness);
    orders += seen.length;
    return findOlderAfterNewer(seen) === undefined;
  });
  const details = await fc.check(property, { seed, numRuns: RUNS, endOnFailure: true });
  return { isSafe: !details.failed, orders };
}

describe('orders under a duty', () => {
  it('finds a recorded order of an older holder after one of a newer', () => {
    const seen = [3, 3, 9, 9, 3].map((fencing, at) => ({ fencing, at }));
    expect(findOlderAfterNewer(seen)).toEqual({ fencing: 3, at: 4 });
  });

  it.each([1, 2])(
    'never let one of an older holder reach the platform after a newer holder (seed %i)',
    async (seed) => {
      const { isSafe, orders } = await checkSchedules(seed);
      expect(isSafe).toBe(true);
      expect(orders).toBeGreaterThan(1_000);
    },
  );

  it('do so when challengers wait without the margin', async () => {
    const { isSafe } = await checkSchedules(1, { margin: true });
    expect(isSafe).toBe(false);
  });

  it('do so when something stands between the check and the write', async () => {
    const { isSafe } = await checkSchedules(1, { sameTick: true });
    expect(isSafe).toBe(false);
  });
});
