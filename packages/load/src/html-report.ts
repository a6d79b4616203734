/** Renders a report as one HTML page with SVG bar charts. */
import { formatReport } from './compare';
import type { Report } from './run';

interface Bar {
  readonly label: string;
  readonly value: number;
}

const BAR_HEIGHT_PX = 18;
const LABEL_WIDTH_PX = 220;
const MAX_BAR_WIDTH_PX = 480;
const VALUE_WIDTH_PX = 90;

/**
 * Renders a report.
 *
 * @param report - the report
 * @returns an HTML page
 */
export function renderHtml(report: Report): string {
  const teams = Object.entries(report.teams);
  const latencies = teams.flatMap(([name, { latency }]) =>
    Object.entries(latency).map(([label, value]) => ({ label: `${name} ${label}`, value })),
  );
  const goodput = teams.map(([label, stats]) => ({ label, value: stats.goodput }));
  const verdicts = Object.entries(report.total.verdicts).map(([label, value]) => ({
    label,
    value,
  }));
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8"><title>Load report</title>',
    '<style>body{font-family:sans-serif;margin:2em}text{font-size:12px}rect{fill:#3a7}</style>',
    `<h1>Load report</h1><p>${escapeHtml(report.baseUrl)}, seed ${report.seed}</p>`,
    `<pre>${escapeHtml(formatReport(report))}</pre>`,
    `<h2>Goodput by team, answers per second</h2>${renderBars(goodput)}`,
    `<h2>Latency, milliseconds</h2>${renderBars(latencies)}`,
    `<h2>Outcomes</h2>${renderBars(verdicts)}`,
    '</html>',
  ].join('\n');
}

function renderBars(bars: readonly Bar[]): string {
  // The tiny minimum avoids a division by zero when all values are 0.
  const maxValue = Math.max(1e-9, ...bars.map(({ value }) => value));
  const rows = bars.map(({ label, value }, index) => {
    const y = index * BAR_HEIGHT_PX;
    const width = (value / maxValue) * MAX_BAR_WIDTH_PX;
    const valueX = LABEL_WIDTH_PX + width + 4;
    return [
      `<text x="0" y="${y + 13}">${escapeHtml(label)}</text>`,
      `<rect x="${LABEL_WIDTH_PX}" y="${y + 2}" width="${width.toFixed(1)}" height="14"/>`,
      `<text x="${valueX.toFixed(1)}" y="${y + 13}">${value}</text>`,
    ].join('');
  });
  const width = LABEL_WIDTH_PX + MAX_BAR_WIDTH_PX + VALUE_WIDTH_PX;
  const height = bars.length * BAR_HEIGHT_PX;
  return `<svg width="${width}" height="${height}" role="img">${rows.join('\n')}</svg>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}
