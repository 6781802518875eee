/** One line of a plot. */
export interface SeriesLine {
  readonly label: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/** A plot that a bench gives to the report, under "series" in its details. */
export interface Series {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly lines: readonly SeriesLine[];
}
