import type { MonoTime } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ShutdownSchedule } from '../src';

const STOPPED_AT = 10_000;
const GRACE_MS = 8_000;

/** Whether a process takes a request that arrives after its stop and lasts for a time at most. */
function takes(arrivesAfterMs: number, lastsMs: number): boolean {
  const schedule = new ShutdownSchedule(STOPPED_AT as MonoTime, GRACE_MS);
  const now = STOPPED_AT + arrivesAfterMs;
  return schedule.takes(now as MonoTime, (now + lastsMs) as MonoTime);
}

describe('the schedule of a process that stops', () => {
  it('takes any request while its callers can not know of the stop', () => {
    expect([0, 700, 2_900].map((ms) => takes(ms, 10_000))).toEqual([true, true, true]);
    expect(takes(2_900, Infinity)).toBe(true);
  });

  it('takes only requests that end in time after that', () => {
    expect(takes(3_100, 10_000)).toBe(false);
    expect(takes(3_100, 4_000)).toBe(true);
    expect(takes(6_500, 800)).toBe(false);
    expect(takes(6_300, 800)).toBe(true);
    expect(takes(3_100, Infinity)).toBe(false);
  });

  // A request may still be at its target in the last sixth of the time only if it was sent early.
  it('waits for open requests for five sixths of the time at least, and ends before all of it', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1_000, max: 60_000 }), (graceMs) => {
        const { servesUntil } = new ShutdownSchedule(STOPPED_AT as MonoTime, graceMs);
        expect(servesUntil - STOPPED_AT).toBeGreaterThanOrEqual((graceMs * 5) / 6);
        expect(servesUntil - STOPPED_AT).toBeLessThan(graceMs);
      }),
    );
  });
});
