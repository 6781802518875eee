import {BenchReport, Series} from '../shared';
import {FittedSlope} from '../scale';

/**
 * Returns the plots of a bench's details: its series, and one plot for each
 * slope.
 */
export function collectSeries({details = {}}: BenchReport): readonly Series[] {
  const series = (details.series ?? []) as readonly Series[];
  const slopes = (details.slopes ?? []) as readonly FittedSlope[];
  return [...series, ...slopes.map(createSlopeSeries)];
}

function createSlopeSeries({
  role,
  axis,
  cost,
  points,
  fit,
}: FittedSlope): Series {
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
