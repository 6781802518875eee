/** One line of a plot. */
export interface SeriesLine {
  readonly label: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/**
 * A plot for the report; benches list their plots under "series" in the details
 * of their reports.
 */
export interface Series {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly lines: readonly SeriesLine[];
}
