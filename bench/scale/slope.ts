/** Growth of one cost along one axis, with at least four measured points. */
export interface Slope {
  /** Role or decision, such as "leader placement round". */
  readonly role: string;
  /** Quantity that is varied, such as "workers" or "pools". */
  readonly axis: string;
  /** Measured cost with its unit, such as "cpu ms per round". */
  readonly cost: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/** Least-squares line through the points of a slope. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, in the unit of the cost. */
  readonly residual: number;
}

/** Slope with its area and fitted line. */
export interface FittedSlope extends Slope {
  readonly area: string;
  readonly fit: Fit;
}

/**
 * Measures the slopes of one area; a quick run takes fewer or shorter samples.
 */
export type ScaleProbe = (quick: boolean) => Promise<readonly Slope[]>;

/**
 * Fits a line by least squares.
 *
 * @param points measured points
 */
export function fitLine(points: Slope['points']): Fit {
  const n = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / n;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / n;
  const varianceX = points.reduce((sum, {x}) => sum + (x - meanX) ** 2, 0);
  const covariance = points.reduce(
    (sum, {x, y}) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce(
    (sum, {x, y}) => sum + (y - intercept - slope * x) ** 2,
    0,
  );
  return {slope, intercept, residual: Math.sqrt(squares / n)};
}
