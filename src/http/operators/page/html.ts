const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Cells of a table row, in the order of the columns. */
export type TableRow = readonly (string | number)[];

/** Escapes text for use in HTML. */
export function escapeHtml(text: string | number): string {
  return String(text).replace(/[&<>"']/g, character => ESCAPES[character]);
}

/**
 * Renders a table as HTML. All texts are escaped.
 *
 * @param caption caption of the table
 * @param columns column headings
 * @param rows rows of the table; a placeholder row is shown if there are none
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
