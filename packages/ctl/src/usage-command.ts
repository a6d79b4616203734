/** The command `usage`: the windows that are closed, and which of them are reported. */
import type { Millis } from '@hibiscushill/base';
import { type ClosedWindow, UsageWindows, parseUsageRecord } from '@hibiscushill/control';
import type { LogRecord } from '@hibiscushill/log';

import type { CommandContext } from './context';
import { reportOutcome } from './declaration-commands';
import { type Report, createReport, formatTable } from './report';
import { readStream } from './stream';

interface WindowRow extends ClosedWindow {
  readonly isReported: boolean;
}

/** Follows the windows and keeps each close that stands. */
class WindowLog {
  readonly #windows: UsageWindows;

  readonly #rows = new Map<number, WindowRow>();

  constructor(windowMs: Millis) {
    this.#windows = new UsageWindows({ windowMs });
  }

  /** The closed windows, oldest first. */
  get rows(): WindowRow[] {
    return [...this.#rows.values()].sort((a, b) => a.window - b.window);
  }

  /** Whether the stream held enough to tell which closes stand. */
  get isSettled(): boolean {
    return this.#windows.isSettled;
  }

  /** Takes the next record of the stream. */
  readonly take = (record: LogRecord): void => {
    this.#windows.apply(record);
    const type = parseUsageRecord(record)?.type;
    if (type === undefined || type === 'delta') return;
    const unreported = new Set(this.#windows.unreported.map((closed) => closed.window));
    this.#windows.unreported.forEach((closed) => {
      this.#rows.set(closed.window, { ...closed, isReported: false });
    });
    this.#rows.forEach((row, window) => {
      if (!unreported.has(window)) this.#rows.set(window, { ...row, isReported: true });
    });
  };
}

/** Shows the closed windows that the log still holds. */
export async function showUsage(context: CommandContext): Promise<Report> {
  const windows = new WindowLog(context.usageWindowMs);
  const read = await readStream(context.log, 'usage', windows.take);
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  const { rows, isSettled } = windows;
  const lines = formatRows(rows);
  if (!isSettled && read.value > 0) lines.push('The stream was trimmed and holds no snapshot.');
  return createReport('ok', lines, { windows: rows });
}

function formatRows(rows: readonly WindowRow[]): string[] {
  if (rows.length === 0) return ['No window is closed.'];
  const cells = rows.flatMap((row) =>
    row.figures.map((figure) => [
      new Date(row.window).toISOString(),
      row.isReported ? 'reported' : 'closed',
      figure.team,
      figure.service,
      `${figure.requests}`,
      `${figure.tokens}`,
    ]),
  );
  return formatTable([['WINDOW', 'STATE', 'TEAM', 'SERVICE', 'REQUESTS', 'TOKENS'], ...cells]);
}
