import type { MonoTime } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { computeConnectionLimits, findLongestInactive, listExcessHeads } from '../src';

const at = (ms: number): MonoTime => ms as MonoTime;

describe('the connection that is closed for a new one', () => {
  const idle = { isServing: false, activeAt: at(5_000), headBytes: 0 };
  const stalled = { isServing: false, activeAt: at(2_000), headBytes: 300 };
  const serving = { isServing: true, activeAt: at(0), headBytes: 0 };

  it('is the one on which nothing has happened for the longest', () => {
    expect(findLongestInactive([idle, serving, stalled])).toBe(stalled);
  });

  it('is never one on which a request is served', () => {
    expect(findLongestInactive([serving])).toBeUndefined();
  });
});

describe('the incomplete heads that are given up', () => {
  it('are the largest, until the others fit together', () => {
    const heads = [10, 60_000, 40_000, 300].map((headBytes) => ({
      isServing: false,
      activeAt: at(0),
      headBytes,
    }));
    expect(listExcessHeads(heads, 45_000).map(({ headBytes }) => headBytes)).toEqual([60_000]);
    expect(listExcessHeads(heads, 200_000)).toEqual([]);
  });
});

describe('the limits of connections', () => {
  it('leave descriptors and memory to everything else, on machines of all sizes', () => {
    const sizes = [
      { memoryBytes: 210e6, descriptors: 3_075 },
      { memoryBytes: 380e6, descriptors: 8_200 },
      { memoryBytes: 602e6, descriptors: 600 },
    ];
    expect(sizes.map((size) => computeConnectionLimits(size))).toEqual([
      { connections: 1_437, headBytes: 10_500_000 },
      { connections: 3_479, headBytes: 19_000_000 },
      { connections: 200, headBytes: 30_100_000 },
    ]);
  });
});
