/** The policies next to their baselines, as tables. */
import { formatTable } from '../table';
import { compareFlood } from './flood';
import { compareShares } from './shares';
import { compareSubsets } from './subsets';
import { compareTargetChoice } from './target-choice';

const LOADS = [0.5, 0.8, 1.1];

/**
 * Runs every experiment.
 *
 * @param seed - the seed
 * @returns a page of tables
 */
export function runPolicies(seed: number): string {
  return [formatFlood(seed), formatChoice(seed), formatShares(seed), formatSubsets()].join('\n\n');
}

function formatFlood(seed: number): string {
  const rows = compareFlood(seed).map(({ label, worstGoodput, worstP99, largeGoodput }) => [
    label,
    ratio(worstGoodput),
    ratio(worstP99),
    ratio(largeGoodput),
  ]);
  const header = ['flood at 10x', 'worst goodput/alone', 'worst p99/alone', 'large goodput/bound'];
  return formatTable(header, rows);
}

function formatChoice(seed: number): string {
  const rows = compareTargetChoice(seed, LOADS).map((one) => [
    one.label,
    one.load,
    one.p50,
    one.p99,
    one.late,
    ratio(one.hits),
    ratio(one.crossZone),
  ]);
  const header = ['target choice', 'load', 'p50 ms', 'p99 ms', 'late', 'cached', 'cross zone'];
  return formatTable(header, rows);
}

function formatShares(seed: number): string {
  const rows = compareShares(seed).map((one) => [
    one.case,
    one.rule,
    ratio(one.over),
    ratio(one.under),
    ratio(one.worst),
  ]);
  return formatTable(['shares of a bound', 'rule', 'over', 'under', 'worst second'], rows);
}

function formatSubsets(): string {
  const rows = compareSubsets().map((one) => [
    one.shape,
    one.way,
    one.least,
    one.most,
    ratio(one.entryChurn),
    ratio(one.targetChurn),
  ]);
  const header = ['entries x targets, size', 'way', 'least', 'most', 'entry left', 'target left'];
  return formatTable(header, rows);
}

function ratio(value: number): string {
  return value.toFixed(3);
}
