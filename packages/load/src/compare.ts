/** Two reports side by side. */
import type { Figures } from './recorder';
import type { Report } from './run';
import { formatTable } from './table';

const COLUMNS: readonly [string, (figures: Figures) => number][] = [
  ['offered', (figures) => figures.offered],
  ['answered', (figures) => figures.answered],
  ['refused', (figures) => countRefused(figures)],
  ['late', (figures) => figures.late],
  ['wrong', (figures) => countWrong(figures)],
  ['goodput/s', (figures) => figures.goodput],
  ['p50 ms', (figures) => figures.latency.p50],
  ['p90 ms', (figures) => figures.latency.p90],
  ['p99 ms', (figures) => figures.latency.p99],
  ['max ms', (figures) => figures.latency.max],
];

/**
 * Counts refusals.
 *
 * @param figures - the figures
 * @returns the answers with a result code
 */
export function countRefused(figures: Figures): number {
  return sumVerdicts(figures, (verdict) => verdict.startsWith('refused.'));
}

/**
 * Counts answers that were not whole, not the request's own, or did not come.
 *
 * @param figures - the figures
 * @returns their number
 */
export function countWrong(figures: Figures): number {
  return sumVerdicts(figures, (verdict) => ['wrong', 'clipped', 'unreachable'].includes(verdict));
}

/**
 * Describes one report.
 *
 * @param report - the report
 * @returns a table, one line a team
 */
export function formatReport(report: Report): string {
  const rows = Object.entries({ all: report.total, ...report.teams }).map(([name, figures]) => [
    name,
    ...COLUMNS.map(([, read]) => read(figures)),
  ]);
  const table = formatTable(['team', ...COLUMNS.map(([name]) => name)], rows);
  const processes = report.processes.map(
    ({ pid, processorSeconds, answersPerCore }) =>
      `pid ${pid}: ${processorSeconds} s of processor time, ${answersPerCore} answers/s per core`,
  );
  return [table, ...processes].join('\n');
}

/**
 * Compares two reports.
 *
 * @param reports - the two, by the names that the table should show
 * @returns a table with two lines a team
 */
export function formatComparison(reports: Readonly<Record<string, Report>>): string {
  const names = [...new Set(Object.values(reports).flatMap(({ teams }) => Object.keys(teams)))];
  const rows = ['all', ...names].flatMap((team) =>
    Object.entries(reports).flatMap(([label, report]) => {
      const figures = team === 'all' ? report.total : report.teams[team];
      return figures ? [[team, label, ...COLUMNS.map(([, read]) => read(figures))]] : [];
    }),
  );
  return formatTable(['team', 'run', ...COLUMNS.map(([name]) => name)], rows);
}

function sumVerdicts(figures: Figures, isWanted: (verdict: string) => boolean): number {
  return Object.entries(figures.verdicts)
    .filter(([verdict]) => isWanted(verdict))
    .reduce((sum, [, count]) => sum + count, 0);
}
