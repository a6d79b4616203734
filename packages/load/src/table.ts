/** Plain-text tables. */

/**
 * Lays rows out in columns. Numbers stand to the right.
 *
 * @param header - the column names
 * @param rows - the cells
 * @returns lines, the header first
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
