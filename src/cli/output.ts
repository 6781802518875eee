/** Output formats of results. */
export enum Output {
  Table = 'table',
  Json = 'json',
}

/** One row of a table. */
export type Row = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Writes rows to standard output.
 *
 * @param output output format
 * @param rows rows of the table, all with the same columns
 * @param value value for JSON output; the rows by default
 */
export function writeRows(
  output: Output,
  rows: readonly Row[],
  value: unknown = rows,
): void {
  if (output === Output.Json) {
    process.stdout.write(`${JSON.stringify(value)}\n`);
    return;
  }
  if (rows.length === 0) {
    process.stdout.write('none\n');
    return;
  }
  const columns = Object.keys(rows[0]);
  const widths = columns.map(column =>
    Math.max(column.length, ...rows.map(row => String(row[column]).length)),
  );
  const line = (cells: readonly string[]) =>
    cells
      .map((cell, i) => cell.padEnd(widths[i]))
      .join('  ')
      .trimEnd();
  process.stdout.write(`${line(columns)}\n`);
  for (const row of rows) {
    const cells = columns.map(column => String(row[column] ?? ''));
    process.stdout.write(`${line(cells)}\n`);
  }
}
