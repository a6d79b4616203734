import type { MonoTime } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { ByteBudget, listStalledResponses } from '../src';

const unread = [1_000, 2_000, 4_500].map((since) => ({
  bytes: 900_000,
  since: since as MonoTime,
}));

describe('the unread responses that are given up', () => {
  it.each([
    ['none while they fit', 0, []],
    ['the oldest while they exceed the memory', 1, [1_000]],
    ['none that callers may still be reading', 5_000_000, [1_000, 2_000]],
  ])('are %s', (_, excessBytes, expected) => {
    const stalled = listStalledResponses(unread, excessBytes, 5_000 as MonoTime);
    expect(stalled.map(({ since }) => since)).toEqual(expected);
  });
});

describe('a budget of bytes', () => {
  it('counts what exists already beyond its limit, and takes nothing more then', () => {
    const budget = new ByteBudget(1_000);
    budget.charge(1_200);
    expect([budget.excessBytes, budget.take(1)]).toEqual([200, false]);
    budget.release(1_200);
    expect([budget.excessBytes, budget.take(1_000)]).toEqual([-1_000, true]);
  });
});
