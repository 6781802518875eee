import {mkdirSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {BenchReport} from '../shared';

/** A run of all benches; its record is kept in the repository. */
export interface Round {
  /** Sequence number of the round, starting at 1. */
  readonly number: number;
  /** Abbreviated hash of the measured commit. */
  readonly commit: string;
  readonly quick: boolean;
  readonly reports: readonly BenchReport[];
  /** Benches that threw an error. */
  readonly failures: readonly RoundFailure[];
}

/** A bench that threw an error, with its message. */
export interface RoundFailure {
  readonly bench: string;
  readonly message: string;
}

const FOLDER = 'reports/rounds';

/** Returns the last recorded round; undefined if there is none. */
export function readLastRound(): Round | undefined {
  mkdirSync(FOLDER, {recursive: true});
  const last = readdirSync(FOLDER).sort().at(-1);
  if (!last) return undefined;
  return JSON.parse(readFileSync(`${FOLDER}/${last}`, 'utf8')) as Round;
}

/** Records a round as a file of its own, named by its number. */
export function writeRound(round: Round): void {
  const name = String(round.number).padStart(4, '0');
  const text = `${JSON.stringify(round, undefined, 1)}\n`;
  writeFileSync(`${FOLDER}/${name}.json`, text);
}
