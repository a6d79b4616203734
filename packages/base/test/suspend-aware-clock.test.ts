import { describe, expect, it } from 'vitest';

import { Clock, type MonoTime, SuspendAwareClock, type WallTime } from '../src';

class TwoClocks extends Clock {
  steady = 100;

  day = 1_000_000;

  override mono(): MonoTime {
    return this.steady as MonoTime;
  }

  override wall(): WallTime {
    return this.day as WallTime;
  }

  override async sleep(): Promise<void> {
    await Promise.resolve();
  }

  pass(steadyMs: number, dayMs: number): void {
    this.steady += steadyMs;
    this.day += dayMs;
  }
}

describe('a clock that counts suspensions', () => {
  it('goes as the steady clock while both agree', () => {
    const base = new TwoClocks();
    const clock = new SuspendAwareClock(base);
    base.pass(500, 500);
    expect(clock.mono()).toBe(600);
  });

  it('adds the time for which the steady clock stood still', () => {
    const base = new TwoClocks();
    const clock = new SuspendAwareClock(base);
    base.pass(10, 3_010);
    expect(clock.mono()).toBe(3_110);
    base.pass(10, 10);
    expect(clock.mono()).toBe(3_120);
  });

  it('adds a slow drift up until it counts', () => {
    const base = new TwoClocks();
    const clock = new SuspendAwareClock(base);
    for (let turn = 0; turn < 10; turn += 1) {
      base.pass(100, 105);
      clock.mono();
    }
    expect(clock.mono()).toBeGreaterThanOrEqual(1_120);
  });

  it('never goes back when the time of day is set back', () => {
    const base = new TwoClocks();
    const clock = new SuspendAwareClock(base);
    base.pass(10, -2_000);
    expect(clock.mono()).toBe(110);
    base.pass(10, 10);
    expect(clock.mono()).toBe(120);
  });
});
