/** A report as one HTML page with SVG charts. */
import { formatReport } from './compare';
import type { Report } from './run';

interface Bar {
  readonly label: string;
  readonly value: number;
}

const BAR_HEIGHT = 18;
const LABEL_WIDTH = 220;
const CHART_WIDTH = 480;
const MARGIN = 90;

/**
 * Draws a report.
 *
 * @param report - the report
 * @returns an HTML page
 */
export function renderHtml(report: Report): string {
  const teams = Object.entries(report.teams);
  const latencies = teams.flatMap(([name, { latency }]) =>
    Object.entries(latency).map(([label, value]) => ({ label: `${name} ${label}`, value })),
  );
  const goodput = teams.map(([label, figures]) => ({ label, value: figures.goodput }));
  const verdicts = Object.entries(report.total.verdicts).map(([label, value]) => ({
    label,
    value,
  }));
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8"><title>Load report</title>',
    '<style>body{font-family:sans-serif;margin:2em}text{font-size:12px}rect{fill:#3a7}</style>',
    `<h1>Load report</h1><p>${escape(report.baseUrl)}, seed ${report.seed}</p>`,
    `<pre>${escape(formatReport(report))}</pre>`,
    `<h2>Goodput by team, answers a second</h2>${renderBars(goodput)}`,
    `<h2>Latency, milliseconds</h2>${renderBars(latencies)}`,
    `<h2>Outcomes</h2>${renderBars(verdicts)}`,
    '</html>',
  ].join('\n');
}

function renderBars(bars: readonly Bar[]): string {
  const most = Math.max(1e-9, ...bars.map(({ value }) => value));
  const rows = bars.map(({ label, value }, index) => {
    const y = index * BAR_HEIGHT;
    const width = (value / most) * CHART_WIDTH;
    const end = LABEL_WIDTH + width + 4;
    return [
      `<text x="0" y="${y + 13}">${escape(label)}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${y + 2}" width="${width.toFixed(1)}" height="14"/>`,
      `<text x="${end.toFixed(1)}" y="${y + 13}">${value}</text>`,
    ].join('');
  });
  const width = LABEL_WIDTH + CHART_WIDTH + MARGIN;
  const height = bars.length * BAR_HEIGHT;
  return `<svg width="${width}" height="${height}" role="img">${rows.join('\n')}</svg>`;
}

function escape(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}
