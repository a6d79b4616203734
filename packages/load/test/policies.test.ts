import { describe, expect, it } from 'vitest';

import { compareFlood } from '../src/policies/flood';
import { compareShares } from '../src/policies/shares';

describe('the flood experiment', () => {
  it('protects small teams with a fair queue and bounds, and not without them', () => {
    const results = new Map(compareFlood(1, 10_000).map((result) => [result.label, result]));
    const fair = results.get('FairQueue + BoundedAdmission');
    const open = results.get('FifoQueue + OpenAdmission');
    expect(fair?.worstGoodput).toBeGreaterThanOrEqual(0.95);
    expect(fair?.worstP99).toBeLessThanOrEqual(2);
    expect(open?.worstGoodput).toBeLessThan(0.5);
  });
});

describe('the share experiment', () => {
  it('keeps the bound under a cut, where a split over heard peers multiplies it', () => {
    const results = compareShares(1).filter(({ case: name }) => name.includes('cut'));
    const worst = (rule: string) =>
      Math.max(...results.filter((result) => result.rule === rule).map((result) => result.worst));
    expect(worst('ShareTracker')).toBeLessThanOrEqual(1.1);
    expect(worst('split over the peers that are heard')).toBeGreaterThan(1.5);
  });
});
