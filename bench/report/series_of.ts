import {BenchReport, Series} from '../shared';
import {FittedSlope} from '../scale';

/** Returns every plot that a bench's details hold: its series and its slopes. */
export function seriesOf({details = {}}: BenchReport): readonly Series[] {
  const series = (details.series ?? []) as readonly Series[];
  const slopes = (details.slopes ?? []) as readonly FittedSlope[];
  return [...series, ...slopes.map(plotSlope)];
}

function plotSlope({role, axis, cost, points, fit}: FittedSlope): Series {
  return {
    title: role,
    xLabel: axis,
    yLabel: cost,
    lines: [
      {label: 'measured', points},
      {
        label: 'fitted',
        points: points.map(({x}) => ({x, y: fit.intercept + fit.slope * x})),
      },
    ],
  };
}
