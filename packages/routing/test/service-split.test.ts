import type { ServiceId } from '@hibiscushill/base';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { type SplitService, chooseServiceAtRandom, chooseServiceForKey, listServing } from '../src';

const CANARY = 'canary' as ServiceId;
const STABLE = 'stable' as ServiceId;
const SPLIT: readonly SplitService[] = [
  { service: CANARY, weight: 10 },
  { service: STABLE, weight: 90 },
];
const KEYS = Array.from({ length: 2_000 }, (_, index) => `group-${index}`);

describe('the services of a split route', () => {
  // review/4: the first service got all items, also once it had no engine left.
  it('are passed over when they have no targets, unless none has any', () => {
    expect(listServing(SPLIT, (service) => service === STABLE)).toEqual([SPLIT[1]]);
    expect(listServing(SPLIT, () => false)).toEqual(SPLIT);
  });

  it('get nothing with a weight of zero, also when no other can serve', () => {
    const withZero = [{ service: CANARY, weight: 0 }, SPLIT[1]!];
    expect(listServing(withZero, (service) => service === CANARY)).toEqual([SPLIT[1]]);
  });

  it('get keys and random requests in proportion to their weights', () => {
    const keys = KEYS.filter((key) => chooseServiceForKey(SPLIT, key) === CANARY).length;
    expect(keys / KEYS.length).toBeCloseTo(0.1, 1);
    expect([0, 0.09, 0.11, 0.99].map((one) => chooseServiceAtRandom(SPLIT, one))).toEqual([
      CANARY,
      CANARY,
      STABLE,
      STABLE,
    ]);
  });

  it('keep their keys when another one is lost', () => {
    const service = fc.integer({ min: 0, max: 9 }).map((one) => `service-${one}` as ServiceId);
    const services = fc.uniqueArray(
      fc.record({ service, weight: fc.integer({ min: 1, max: 9 }) }),
      {
        selector: (one) => one.service,
        minLength: 2,
      },
    );
    fc.assert(
      fc.property(services, fc.string(), fc.nat(), (all, key, at) => {
        const lost = all[at % all.length]!.service;
        const chosen = chooseServiceForKey(all, key);
        const left = chooseServiceForKey(
          listServing(all, (one) => one !== lost),
          key,
        );
        expect(left).not.toBe(lost);
        if (chosen !== lost) expect(left).toBe(chosen);
      }),
    );
  });
});
