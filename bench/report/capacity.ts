import {readFileSync, writeFileSync} from 'node:fs';
import {FittedSlope} from '../scale';
import {Round} from './round';

const PAGE_PATH = 'docs/CAPACITY.md';
const START_MARKER = '<!-- slopes: written by npm run report -->';
const END_MARKER = '<!-- end of slopes -->';

/** Planned sizes by axis, for the axes that grow with the size of the site. */
const PLANNED_SIZES: Readonly<Record<string, number>> = {
  workers: 3_600,
  hosts: 3_600,
  pools: 69,
};

/**
 * Writes a round's slopes into the capacity page, between the start and end
 * markers.
 *
 * @param round the round; a round without slopes of the scale bench leaves the
 *     page unchanged
 */
export function writeSlopes(round: Round): void {
  const scale = round.reports.find(({bench}) => bench === 'scale');
  const slopes = (scale?.details?.slopes ?? []) as readonly FittedSlope[];
  if (slopes.length === 0) return;
  const page = readFileSync(PAGE_PATH, 'utf8');
  const before = page.slice(
    0,
    page.indexOf(START_MARKER) + START_MARKER.length,
  );
  const after = page.slice(page.indexOf(END_MARKER));
  writeFileSync(
    PAGE_PATH,
    `${before}\n\n${createTable(round, slopes)}\n\n${after}`,
  );
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
  const measured = points.map(({x, y}) => `${x}: ${formatValue(y)}`).join(', ');
  const plannedSize = PLANNED_SIZES[axis];
  const atPlannedSize =
    plannedSize === undefined
      ? '–'
      : formatValue(fit.intercept + fit.slope * plannedSize);
  const cells = [
    area,
    role,
    cost,
    axis,
    measured,
    formatValue(fit.slope),
    formatValue(fit.residual),
    atPlannedSize,
  ];
  return `| ${cells.join(' | ')} |`;
}

function formatValue(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(3);
}
