import {BenchReport, Measure} from '../shared';
import {drawPlot, escapeText} from './plot';
import {Round} from './round';
import {collectSeries} from './collect_series';

interface MeasureRow {
  readonly bench: string;
  readonly measure: Measure;
  /** Value in the previous round, if that round has the same measure. */
  readonly previousValue?: number;
}

/**
 * Returns the report of a round as a Markdown page.
 *
 * @param round the round to render
 * @param previousRound the previous round, for comparison
 */
export function createMarkdown(
  round: Round,
  previousRound: Round | undefined,
): string {
  const rows = listMeasureRows(round, previousRound).map(
    ({bench, measure, previousValue}) =>
      `| ${bench} | ${measure.name} | ${formatValue(measure.value)} | ${measure.target} | ${verdictOf(measure)} | ${previousValue === undefined ? '–' : formatValue(previousValue)} |`,
  );
  return [
    `# Report of round ${round.number}`,
    '',
    `Commit ${round.commit}${round.quick ? ', quick runs' : ''}. Written by \`npm run report\`.`,
    '',
    '| bench | measure | value | target | verdict | previous round |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
    ...round.failures.map(
      ({bench, message}) => `- ${bench} failed: ${message}`,
    ),
    '',
  ].join('\n');
}

/**
 * Returns the report of a round as an HTML page with plots.
 *
 * @param round the round to render
 * @param previousRound the previous round, for comparison
 */
export function createHtml(
  round: Round,
  previousRound: Round | undefined,
): string {
  const rows = listMeasureRows(round, previousRound).map(
    ({bench, measure, previousValue}) =>
      renderRow([
        bench,
        measure.name,
        formatValue(measure.value),
        measure.target,
        verdictOf(measure),
        previousValue === undefined ? '' : formatValue(previousValue),
      ]),
  );
  const plots = round.reports.flatMap(report =>
    collectSeries(report).map(series => `<figure>${drawPlot(series)}</figure>`),
  );
  const failures = round.failures.map(
    ({bench, message}) => `<li>${escapeText(`${bench}: ${message}`)}</li>`,
  );
  return [
    '<!doctype html>',
    '<html lang="en"><meta charset="utf-8"><title>sesamefront report</title>',
    '<style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}figure{display:inline-block;margin:8px}</style>',
    `<h1>Report of round ${round.number}</h1>`,
    `<p>Commit ${round.commit}${round.quick ? ', quick runs' : ''}.</p>`,
    '<table><tr><th>bench<th>measure<th>value<th>target<th>verdict<th>previous round</tr>',
    ...rows,
    '</table>',
    failures.length > 0
      ? `<h2>Failed benches</h2><ul>${failures.join('')}</ul>`
      : '',
    '<h2>Plots</h2>',
    ...plots,
    '</html>',
    '',
  ].join('\n');
}

function listMeasureRows(
  round: Round,
  previousRound: Round | undefined,
): readonly MeasureRow[] {
  return round.reports.flatMap(report =>
    report.measures.map(measure => ({
      bench: report.bench,
      measure,
      previousValue: findMeasure(previousRound, report, measure)?.value,
    })),
  );
}

function findMeasure(
  previousRound: Round | undefined,
  {bench}: BenchReport,
  {name}: Measure,
): Measure | undefined {
  return previousRound?.reports
    .find(report => report.bench === bench)
    ?.measures.find(measure => measure.name === name);
}

function verdictOf({holds}: Measure): string {
  return holds ? 'holds' : 'does not hold';
}

function formatValue(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function renderRow(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<td>${escapeText(cell)}`).join('')}</tr>`;
}
