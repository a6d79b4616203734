import type { MonoTime } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import { CallerMemory, type MemoryClaim, chooseYielding, computeCallerMemory } from '../src';

const MB = 1_000_000;
const SMALLEST_MACHINE = { memoryBytes: 210 * MB, descriptors: 3_000 };
const MAX_BODY_BYTES = 33_554_432;

const at = (ms: number): MonoTime => ms as MonoTime;

function createMemory(): CallerMemory {
  return new CallerMemory(() => computeCallerMemory(SMALLEST_MACHINE, MAX_BODY_BYTES));
}

/** Opens claims of one size; returns those that hold it, and counts the yields. */
function openMany(memory: CallerMemory, count: number, bytes: number, now = at(0)) {
  const yielded: MemoryClaim[] = [];
  const held = Array.from({ length: count }, () => {
    const claim: MemoryClaim = memory.open(now, () => yielded.push(claim));
    return claim.resize(bytes, now) ? claim : undefined;
  }).filter((claim) => claim !== undefined);
  return { held, yielded };
}

describe('the requests that yield', () => {
  const stalled = { bytes: 3 * MB, progressAt: at(0) };
  const larger = { bytes: 20 * MB, progressAt: at(4_900) };
  const smaller = { bytes: 1 * MB, progressAt: at(4_900) };
  const choose = (missingBytes: number): unknown =>
    chooseYielding([smaller, larger, stalled], missingBytes, 2 * MB, at(5_000));

  it('are the stalled ones first, then larger ones, and never smaller ones that arrive', () => {
    expect({ few: choose(MB), more: choose(10 * MB), tooMany: choose(24 * MB) })
      .toMatchInlineSnapshot(`
        {
          "few": [
            {
              "bytes": 3000000,
              "progressAt": 0,
            },
          ],
          "more": [
            {
              "bytes": 3000000,
              "progressAt": 0,
            },
            {
              "bytes": 20000000,
              "progressAt": 4900,
            },
          ],
          "tooMany": undefined,
        }
      `);
  });
});

describe('the memory of callers', () => {
  it('has room for one request of the largest legal size in calm', () => {
    expect(
      createMemory()
        .open(at(0), () => undefined)
        .resize(MAX_BODY_BYTES, at(0)),
    ).toBe(true);
  });

  it('keeps room for small requests while large ones wait as a whole', () => {
    const memory = createMemory();
    openMany(memory, 1, MAX_BODY_BYTES).held.forEach((claim) => claim.settle());
    expect(openMany(memory, 16, MAX_BODY_BYTES).held).toHaveLength(0);
    expect(openMany(memory, 100, 4_096).held).toHaveLength(100);
  });

  it('takes what stalled uploads hold for a request that arrives', () => {
    const memory = createMemory();
    const { yielded } = openMany(memory, 10_000, 4_096);
    const { held } = openMany(memory, 100, 8_192, at(2_000));
    expect(held).toHaveLength(100);
    expect(yielded.length).toBeGreaterThan(0);
  });

  it('never holds more than its limits, however many arrive', () => {
    const memory = createMemory();
    const { smallBytes, largeBytes } = computeCallerMemory(SMALLEST_MACHINE, MAX_BODY_BYTES);
    [MAX_BODY_BYTES, 1 * MB, 65_536, 800].forEach((bytes, index) => {
      openMany(memory, 2_000, bytes, at(index * 500));
      expect(memory.bytes).toBeLessThanOrEqual(smallBytes + largeBytes);
    });
  });

  it('gets back what closed and shrunk requests held', () => {
    const memory = createMemory();
    const [first, second] = openMany(memory, 2, 100_000).held;
    first?.close();
    second?.resize(1_000, at(0));
    expect(memory.bytes).toBe(1_000);
    second?.close();
    expect(memory.bytes).toBe(0);
  });
});
