import {Measure} from './measure';

/** Options common to all benches. */
export interface BenchOptions {
  readonly seed: number;
  /** Whether to make fewer and shorter runs, for a quick check. */
  readonly quick: boolean;
  /** Called with a message about each step. */
  readonly progress: (line: string) => void;
}

/** Result of a bench run. */
export interface BenchReport {
  readonly bench: string;
  readonly seed: number;
  readonly measures: readonly Measure[];
  /** Additional data for the report, such as series and slopes. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Runs a bench and resolves with its report. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;
