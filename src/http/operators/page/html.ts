const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** One row of a table: cell texts in the order of the columns. */
export type TableRow = readonly (string | number)[];

/** Escapes text for use in HTML. */
export function escapeHtml(text: string | number): string {
  return String(text).replace(/[&<>"']/g, character => ESCAPES[character]);
}

/**
 * Writes a captioned table.
 *
 * @param caption what the table shows
 * @param columns heads of the columns
 * @param rows texts, which are escaped
 */
export function renderTable(
  caption: string,
  columns: readonly string[],
  rows: readonly TableRow[],
): string {
  const head = columns.map(name => `<th scope="col">${escapeHtml(name)}</th>`);
  const body = rows.map(cells => {
    const renderedCells = cells.map(cell => `<td>${escapeHtml(cell)}</td>`);
    return `<tr>${renderedCells.join('')}</tr>`;
  });
  const empty = `<tr><td colspan="${columns.length}">none</td></tr>`;
  return [
    `<table><caption>${escapeHtml(caption)}</caption>`,
    `<thead><tr>${head.join('')}</tr></thead>`,
    `<tbody>${body.length > 0 ? body.join('') : empty}</tbody></table>`,
  ].join('');
}
