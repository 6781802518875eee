import {Measure} from './measure';

/** Options of every bench. */
export interface BenchOptions {
  readonly seed: number;
  /** Fewer and shorter runs, for a first look. */
  readonly quick: boolean;
  /** Told of each step. */
  readonly progress: (line: string) => void;
}

/** What a bench prints. */
export interface BenchReport {
  readonly bench: string;
  readonly seed: number;
  readonly measures: readonly Measure[];
  /** Further figures for the report, such as series and slopes. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Runs one bench to its end. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;
