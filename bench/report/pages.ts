import {BenchReport, Measure} from '../shared';
import {drawPlot, escapeText} from './plot';
import {Round} from './round';
import {seriesOf} from './series_of';

interface Line {
  readonly bench: string;
  readonly measure: Measure;
  /** Value of the round before, if it measured the same. */
  readonly before?: number;
}

/**
 * Writes a round as Markdown.
 *
 * @param round the round
 * @param before the round before, to compare with
 */
export function createMarkdown(
  round: Round,
  before: Round | undefined,
): string {
  const rows = linesOf(round, before).map(
    ({bench, measure, before: old}) =>
      `| ${bench} | ${measure.name} | ${format(measure.value)} | ${measure.target} | ${verdictOf(measure)} | ${old === undefined ? '–' : format(old)} |`,
  );
  return [
    `# Report of round ${round.number}`,
    '',
    `Commit ${round.commit}${round.quick ? ', quick runs' : ''}. Written by \`npm run report\`.`,
    '',
    '| bench | measure | value | target | verdict | round before |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
    ...round.failures.map(
      ({bench, message}) => `- ${bench} did not run to its end: ${message}`,
    ),
    '',
  ].join('\n');
}

/**
 * Writes a round as one HTML page with plots.
 *
 * @param round the round
 * @param before the round before, to compare with
 */
export function createHtml(round: Round, before: Round | undefined): string {
  const rows = linesOf(round, before).map(({bench, measure, before: old}) =>
    row([
      bench,
      measure.name,
      format(measure.value),
      measure.target,
      verdictOf(measure),
      old === undefined ? '' : format(old),
    ]),
  );
  const plots = round.reports.flatMap(report =>
    seriesOf(report).map(series => `<figure>${drawPlot(series)}</figure>`),
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
    '<table><tr><th>bench<th>measure<th>value<th>target<th>verdict<th>round before</tr>',
    ...rows,
    '</table>',
    failures.length > 0
      ? `<h2>Not run to the end</h2><ul>${failures.join('')}</ul>`
      : '',
    '<h2>Plots</h2>',
    ...plots,
    '</html>',
    '',
  ].join('\n');
}

function linesOf(round: Round, before: Round | undefined): readonly Line[] {
  return round.reports.flatMap(report =>
    report.measures.map(measure => ({
      bench: report.bench,
      measure,
      before: findMeasure(before, report, measure)?.value,
    })),
  );
}

function findMeasure(
  before: Round | undefined,
  {bench}: BenchReport,
  {name}: Measure,
): Measure | undefined {
  return before?.reports
    .find(known => known.bench === bench)
    ?.measures.find(known => known.name === name);
}

function verdictOf({holds}: Measure): string {
  return holds ? 'holds' : 'does not hold';
}

function format(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function row(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<td>${escapeText(cell)}`).join('')}</tr>`;
}
