/** The command `usage`: lists the closed usage windows and which of them were reported. */
import type { Millis } from '@hibiscushill/base';
import { type ClosedWindow, UsageWindows, parseUsageRecord } from '@hibiscushill/control';
import type { LogRecord } from '@hibiscushill/log';

import type { CommandContext } from './context';
import { reportOutcome } from './declaration-commands';
import { type Report, createReport, formatTable } from './report';
import { readStream } from './read-stream';

/** A closed window, as `usage` prints it. The fields are part of its JSON. */
interface WindowRow extends ClosedWindow {
  readonly isReported: boolean;
}

/** Replays the usage stream and keeps the usage of each closed window. */
class ClosedWindowTracker {
  readonly #windows: UsageWindows;

  readonly #rows = new Map<number, WindowRow>();

  constructor(windowMs: Millis) {
    this.#windows = new UsageWindows({ windowMs });
  }

  /** The closed windows, oldest first. */
  get rows(): WindowRow[] {
    return [...this.#rows.values()].sort((a, b) => a.window - b.window);
  }

  /** Whether the stream held all usage since its start or since a snapshot. */
  get isComplete(): boolean {
    return this.#windows.isComplete;
  }

  /** Applies the next record of the stream. */
  readonly apply = (record: LogRecord): void => {
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

/** Reports the closed usage windows that the log still holds. */
export async function showUsage(context: CommandContext): Promise<Report> {
  const windows = new ClosedWindowTracker(context.usageWindowMs);
  const read = await readStream(context.log, 'usage', windows.apply);
  if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
  const { rows, isComplete } = windows;
  const lines = formatRows(rows);
  if (!isComplete && read.value > 0)
    lines.push('The usage stream was trimmed and holds no snapshot, so windows may be missing.');
  return createReport('ok', lines, { windows: rows });
}

function formatRows(rows: readonly WindowRow[]): string[] {
  if (rows.length === 0) return ['No usage window is closed.'];
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
