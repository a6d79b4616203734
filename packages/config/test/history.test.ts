import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ConfigHistory } from '../src';
import { LastWriteWins, TrustsAnySnapshot } from './naive-rules';
import { Race, type Reader, raceSteps } from './race';

const SEED = 20261203;
const RUNS = 2_000;

function race(create: () => Reader): fc.RunDetails<[import('./race').Step[]]> {
  const property = fc.property(raceSteps, (steps) => new Race(create).run(steps));
  return fc.check(property, { seed: SEED, numRuns: RUNS });
}

describe('the acceptance rule in a race of operators and readers', () => {
  it('finds out the rule by which the last write wins', () => {
    const details = race(() => new LastWriteWins());
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toContain('on a version that was replaced');
  });

  it('finds out the rule that trusts any snapshot', () => {
    const details = race(() => new TrustsAnySnapshot());
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toMatch(/differ|judged a change otherwise/);
  });

  it('gives every reader the same verdict from any start, and never lowers a version', () => {
    const details = race(() => new ConfigHistory());
    expect(details.failed, fc.defaultReportMessage(details)).toBe(false);
  });
});
