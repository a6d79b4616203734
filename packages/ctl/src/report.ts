/** Reports of commands, printed as lines of text or as one JSON object. */
import { EXIT_CODES, type ExitName } from './exit-codes';

/** The result of a command: its exit code, its lines of text, and the fields of its JSON object. */
export interface Report {
  readonly exit: ExitName;
  readonly lines: readonly string[];
  readonly data: Readonly<Record<string, unknown>>;
}

/**
 * Creates a report.
 *
 * @param exit - the name of the exit code
 * @param lines - the lines to print as text
 * @param data - the fields of the JSON object
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
 * Formats a report for output.
 *
 * @param report - the report
 * @param isJson - whether to format it as JSON instead of lines of text
 * @returns the output, with a line break at the end
 */
export function formatReport(report: Report, isJson: boolean): string {
  const { exit, lines, data } = report;
  if (!isJson) return lines.map((line) => `${line}\n`).join('');
  return `${JSON.stringify({ outcome: exit, exitCode: EXIT_CODES[exit].code, ...data })}\n`;
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - the rows; all have the same number of cells
 * @returns one line per row
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
