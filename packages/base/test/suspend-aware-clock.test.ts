import { describe, expect, it } from 'vitest';

import { Clock, type MonoTime, SuspendAwareClock, type WallTime } from '../src';

/** A clock whose monotonic and wall time a test advances separately. */
class SeparateClock extends Clock {
  monoMs = 100;

  wallMs = 1_000_000;

  override mono(): MonoTime {
    return this.monoMs as MonoTime;
  }

  override wall(): WallTime {
    return this.wallMs as WallTime;
  }

  override async sleep(): Promise<void> {
    await Promise.resolve();
  }

  advance(monoMs: number, wallMs: number): void {
    this.monoMs += monoMs;
    this.wallMs += wallMs;
  }
}

describe('SuspendAwareClock', () => {
  it('follows the monotonic clock while both clocks agree', () => {
    const base = new SeparateClock();
    const clock = new SuspendAwareClock(base);
    base.advance(500, 500);
    expect(clock.mono()).toBe(600);
  });

  it('adds the time for which the monotonic clock stopped', () => {
    const base = new SeparateClock();
    const clock = new SuspendAwareClock(base);
    base.advance(10, 3_010);
    expect(clock.mono()).toBe(3_110);
    base.advance(10, 10);
    expect(clock.mono()).toBe(3_120);
  });

  it('accumulates a slow drift until it is counted', () => {
    const base = new SeparateClock();
    const clock = new SuspendAwareClock(base);
    for (let count = 0; count < 10; count += 1) {
      base.advance(100, 105);
      clock.mono();
    }
    expect(clock.mono()).toBeGreaterThanOrEqual(1_120);
  });

  it('never goes back when the wall clock is set back', () => {
    const base = new SeparateClock();
    const clock = new SuspendAwareClock(base);
    base.advance(10, -2_000);
    expect(clock.mono()).toBe(110);
    base.advance(10, 10);
    expect(clock.mono()).toBe(120);
  });
});
