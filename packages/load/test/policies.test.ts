import { describe, expect, it } from 'vitest';

import { compareFlood } from '../src/policies/flood';
import { compareShares } from '../src/policies/shares';

describe('the flood simulation', () => {
  it('protects small teams with a fair queue and bounded admission, but not without them', () => {
    const results = new Map(compareFlood(1, 10_000).map((result) => [result.label, result]));
    const withProtection = results.get('FairQueue + BoundedAdmission');
    const withoutProtection = results.get('FifoQueue + UnboundedAdmission');
    expect(withProtection?.worstGoodputRatio).toBeGreaterThanOrEqual(0.95);
    expect(withProtection?.worstP99Ratio).toBeLessThanOrEqual(2);
    expect(withoutProtection?.worstGoodputRatio).toBeLessThan(0.5);
  });
});

describe('the share simulation', () => {
  it('keeps the bound in a network partition, unlike a split over reachable peers', () => {
    const results = compareShares(1).filter(({ case: name }) => name.includes('network partition'));
    const worst = (rule: string) =>
      Math.max(
        ...results.filter((result) => result.rule === rule).map((result) => result.worstWindow),
      );
    expect(worst('ShareTracker')).toBeLessThanOrEqual(1.1);
    expect(worst('split over reachable peers')).toBeGreaterThan(1.5);
  });
});
