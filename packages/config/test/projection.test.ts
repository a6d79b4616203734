import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ConfigProjection } from '../src';
import { LastWriteWins, TrustsAnySnapshot } from './naive-rules';
import { Race, type Reader, raceSteps } from './race';

const SEED = 20261203;
const RUNS = 2_000;

function runRace(create: () => Reader): fc.RunDetails<[import('./race').Step[]]> {
  const property = fc.property(raceSteps, (steps) => new Race(create).run(steps));
  return fc.check(property, { seed: SEED, numRuns: RUNS });
}

describe('the acceptance rule in a race of operators and readers', () => {
  it('detects that the last write must not win', () => {
    const details = runRace(() => new LastWriteWins());
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toContain('its base is not the current version');
  });

  it('detects that a reader must not trust every snapshot', () => {
    const details = runRace(() => new TrustsAnySnapshot());
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toMatch(/differ|judged a change otherwise/);
  });

  it('has the same effect for every reader from any start, and never lowers a version', () => {
    const details = runRace(() => new ConfigProjection());
    expect(details.failed, fc.defaultReportMessage(details)).toBe(false);
  });
});
