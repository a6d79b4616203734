/** Formats reports as plain-text tables, alone or side by side. */
import type { RequestStats } from './recorder';
import type { Report } from './run';
import { formatTable } from './table';

const COLUMNS: readonly [string, (stats: RequestStats) => number][] = [
  ['offered', (stats) => stats.offered],
  ['answered', (stats) => stats.answered],
  ['refused', (stats) => countRefused(stats)],
  ['late', (stats) => stats.late],
  ['wrong', (stats) => countFailed(stats)],
  ['goodput/s', (stats) => stats.goodput],
  ['p50 ms', (stats) => stats.latency.p50],
  ['p90 ms', (stats) => stats.latency.p90],
  ['p99 ms', (stats) => stats.latency.p99],
  ['max ms', (stats) => stats.latency.max],
];

/**
 * Counts refused requests.
 *
 * @param stats - the statistics of a team or of all teams
 * @returns the number of responses with an error status, with a result code or without
 */
export function countRefused(stats: RequestStats): number {
  return countVerdicts(stats, (verdict) => verdict.startsWith('refused.'));
}

/**
 * Counts requests whose response was incomplete, was wrong or never came.
 *
 * @param stats - the statistics of a team or of all teams
 * @returns the number of requests
 */
export function countFailed(stats: RequestStats): number {
  return countVerdicts(stats, (verdict) => ['wrong', 'clipped', 'unreachable'].includes(verdict));
}

/**
 * Formats one report.
 *
 * @param report - the report
 * @returns a table with one line per team, and a line per watched process
 */
export function formatReport(report: Report): string {
  const rows = Object.entries({ all: report.total, ...report.teams }).map(([name, stats]) => [
    name,
    ...COLUMNS.map(([, read]) => read(stats)),
  ]);
  const table = formatTable(['team', ...COLUMNS.map(([name]) => name)], rows);
  const processes = report.processes.map(
    ({ pid, processorSeconds, answersPerCore }) =>
      `pid ${pid}: ${processorSeconds} s of processor time, ${answersPerCore} answers/s per core`,
  );
  return [table, ...processes].join('\n');
}

/**
 * Formats reports side by side.
 *
 * @param reports - the reports by the label that the table shows
 * @returns a table with one line per team and report
 */
export function formatComparison(reports: Readonly<Record<string, Report>>): string {
  const names = [...new Set(Object.values(reports).flatMap(({ teams }) => Object.keys(teams)))];
  const rows = ['all', ...names].flatMap((team) =>
    Object.entries(reports).flatMap(([label, report]) => {
      const stats = team === 'all' ? report.total : report.teams[team];
      return stats ? [[team, label, ...COLUMNS.map(([, read]) => read(stats))]] : [];
    }),
  );
  return formatTable(['team', 'run', ...COLUMNS.map(([name]) => name)], rows);
}

function countVerdicts(stats: RequestStats, matches: (verdict: string) => boolean): number {
  return Object.entries(stats.verdicts)
    .filter(([verdict]) => matches(verdict))
    .reduce((sum, [, count]) => sum + count, 0);
}
