import {readFileSync, writeFileSync} from 'node:fs';
import {FittedSlope} from '../scale';
import {Round} from './round';

const PAGE = 'docs/CAPACITY.md';
const START = '<!-- slopes: written by npm run report -->';
const END = '<!-- end of slopes -->';

/** Sizes of the plan by axis, where an axis grows with the plan. */
const PLANNED: Readonly<Record<string, number>> = {
  workers: 3_600,
  hosts: 3_600,
  pools: 69,
};

/**
 * Writes a round's slopes into the capacity page, between its two marks.
 *
 * @param round the round that holds a scale bench
 */
export function writeSlopes(round: Round): void {
  const scale = round.reports.find(({bench}) => bench === 'scale');
  const slopes = (scale?.details?.slopes ?? []) as readonly FittedSlope[];
  if (slopes.length === 0) return;
  const page = readFileSync(PAGE, 'utf8');
  const before = page.slice(0, page.indexOf(START) + START.length);
  const after = page.slice(page.indexOf(END));
  writeFileSync(PAGE, `${before}\n\n${createTable(round, slopes)}\n\n${after}`);
}

function createTable(
  {number, commit, quick}: Round,
  slopes: readonly FittedSlope[],
): string {
  return [
    `Round ${number}, commit ${commit}, \`npm run bench -- scale${quick ? ' --quick' : ''}\`.`,
    '',
    '| area | role | cost | axis | measured points (x: y) | slope | residual | at the planned size |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ...slopes.map(createRow),
  ].join('\n');
}

function createRow({area, role, cost, axis, points, fit}: FittedSlope): string {
  const measured = points.map(({x, y}) => `${x}: ${format(y)}`).join(', ');
  const planned = PLANNED[axis];
  const there =
    planned === undefined ? '–' : format(fit.intercept + fit.slope * planned);
  const cells = [
    area,
    role,
    cost,
    axis,
    measured,
    format(fit.slope),
    format(fit.residual),
    there,
  ];
  return `| ${cells.join(' | ')} |`;
}

function format(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(3);
}
