/** Simulates the policies and their baselines, and formats the results as tables. */
import { formatTable } from '../table';
import { compareFlood } from './flood';
import { compareShares } from './shares';
import { compareSubsets } from './subsets';
import { compareTargetChoice } from './target-choice';

// Fractions of what the targets can serve without a cache; the last one overloads them.
const OFFERED_LOADS = [0.5, 0.8, 1.1];

/**
 * Runs all simulations.
 *
 * @param seed - the seed of the simulated request arrivals
 * @returns one plain-text table per simulation
 */
export function simulatePolicies(seed: number): string {
  return [formatFlood(seed), formatTargetChoice(seed), formatShares(seed), formatSubsets()].join(
    '\n\n',
  );
}

function formatFlood(seed: number): string {
  const rows = compareFlood(seed).map(
    ({ label, worstGoodputRatio, worstP99Ratio, largeGoodputRatio }) => [
      label,
      formatRatio(worstGoodputRatio),
      formatRatio(worstP99Ratio),
      formatRatio(largeGoodputRatio),
    ],
  );
  const header = ['flood at 10x', 'worst goodput/alone', 'worst p99/alone', 'large goodput/bound'];
  return formatTable(header, rows);
}

function formatTargetChoice(seed: number): string {
  const rows = compareTargetChoice(seed, OFFERED_LOADS).map((result) => [
    result.label,
    result.load,
    result.p50Ms,
    result.p99Ms,
    result.lateCount,
    formatRatio(result.cacheHitFraction),
    formatRatio(result.crossZoneFraction),
  ]);
  const header = ['target choice', 'load', 'p50 ms', 'p99 ms', 'late', 'cache hits', 'cross zone'];
  return formatTable(header, rows);
}

function formatShares(seed: number): string {
  const rows = compareShares(seed).map((result) => [
    result.case,
    result.rule,
    formatRatio(result.overAdmitted),
    formatRatio(result.underAdmitted),
    formatRatio(result.worstWindow),
  ]);
  return formatTable(
    ['shares of a bound', 'rule', 'over-admitted', 'under-admitted', 'worst second'],
    rows,
  );
}

function formatSubsets(): string {
  const rows = compareSubsets().map((result) => [
    result.fleet,
    result.algorithm,
    result.minEntries,
    result.maxEntries,
    formatRatio(result.entryChurn),
    formatRatio(result.targetChurn),
  ]);
  const header = [
    'entries x targets, size',
    'algorithm',
    'min entries',
    'max entries',
    'entry churn',
    'target churn',
  ];
  return formatTable(header, rows);
}

function formatRatio(value: number): string {
  return value.toFixed(3);
}
