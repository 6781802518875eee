import {mkdirSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {BenchReport} from '../shared';

/** One run of all benches, kept in the repository. */
export interface Round {
  /** Number of the round, from 1. */
  readonly number: number;
  /** Commit that was measured. */
  readonly commit: string;
  readonly quick: boolean;
  readonly reports: readonly BenchReport[];
  /** Benches that ended with an error, with its message. */
  readonly failures: readonly RoundFailure[];
}

/** A bench that did not run to its end. */
export interface RoundFailure {
  readonly bench: string;
  readonly message: string;
}

const FOLDER = 'reports/rounds';

/** Reads the last recorded round; undefined if there is none. */
export function readLastRound(): Round | undefined {
  mkdirSync(FOLDER, {recursive: true});
  const last = readdirSync(FOLDER).sort().at(-1);
  if (!last) return undefined;
  return JSON.parse(readFileSync(`${FOLDER}/${last}`, 'utf8')) as Round;
}

/** Records a round beside the earlier ones. */
export function writeRound(round: Round): void {
  const name = String(round.number).padStart(4, '0');
  const text = `${JSON.stringify(round, undefined, 1)}\n`;
  writeFileSync(`${FOLDER}/${name}.json`, text);
}
