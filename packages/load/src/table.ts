/** Formats plain-text tables. */

/**
 * Formats rows as aligned columns: the first column left-aligned, all others right-aligned.
 *
 * @param header - the column names
 * @param rows - the cells of each row
 * @returns the lines of the table, the header first
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [header, ...rows].map((row) => row.map(String));
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  const pad = (cell: string, column: number) =>
    column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0);
  return lines.map((line) => line.map(pad).join('  ').trimEnd()).join('\n');
}
