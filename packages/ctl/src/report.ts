/** What a command found: for people as lines, for scripts as one JSON object. */
import { EXIT_CODES, type ExitName } from './exit-codes';

/** The result of a command. */
export interface Report {
  readonly exit: ExitName;
  readonly lines: readonly string[];
  readonly data: Readonly<Record<string, unknown>>;
}

/**
 * Makes a report.
 *
 * @param exit - the exit code's name
 * @param lines - the lines for people
 * @param data - the fields for scripts
 * @returns the report
 */
export function createReport(
  exit: ExitName,
  lines: readonly string[],
  data: Readonly<Record<string, unknown>> = {},
): Report {
  return { exit, lines, data };
}

/**
 * Writes a report as text.
 *
 * @param report - the report
 * @param isJson - whether a script reads it
 * @returns the text, with a line break at its end
 */
export function formatReport(report: Report, isJson: boolean): string {
  const { exit, lines, data } = report;
  if (!isJson) return lines.map((line) => `${line}\n`).join('');
  return `${JSON.stringify({ outcome: exit, exitCode: EXIT_CODES[exit].code, ...data })}\n`;
}

/**
 * Lays rows out in columns.
 *
 * @param rows - the rows, each with as many cells as the first
 * @returns one line a row
 */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
