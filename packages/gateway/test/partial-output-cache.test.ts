import type { WeightVersion } from '@hibiscushill/base';
import { describe, expect, it } from 'vitest';

import type { PartialOutput } from '../src/item-task';
import { type ItemFingerprint, PartialOutputCache } from '../src/partial-output-cache';

const MAX_CHARS = 64_000_000;

function createOutput(chars: number): PartialOutput {
  return {
    events: ['x'.repeat(chars)],
    lastNumber: 1,
    versions: [1 as WeightVersion],
    software: undefined,
  };
}

function fingerprint(name: string): ItemFingerprint {
  return name as ItemFingerprint;
}

describe('the partial outputs', () => {
  it('stay bounded in size, and the newest are kept', () => {
    const cache = new PartialOutputCache();
    for (let count = 0; count < 500; count += 1) {
      cache.put(fingerprint(`f${count}`), createOutput(1_000_000));
      expect(cache.chars).toBeLessThanOrEqual(MAX_CHARS);
    }
    expect(cache.take(fingerprint('f499'))).toBeDefined();
    expect(cache.take(fingerprint('f0'))).toBeUndefined();
  });

  it('take no memory once they are taken or replaced', () => {
    const cache = new PartialOutputCache();
    cache.put(fingerprint('a'), createOutput(10));
    cache.put(fingerprint('a'), createOutput(20));
    expect(cache.chars).toBe(20);
    expect(cache.take(fingerprint('a'))?.events[0]).toHaveLength(20);
    expect(cache.take(fingerprint('a'))).toBeUndefined();
    expect(cache.chars).toBe(0);
  });
});
