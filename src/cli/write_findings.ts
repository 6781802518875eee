import {Finding} from '../types';

/** Writes every finding with its location to standard error. */
export function writeFindings(findings: readonly Finding[]): void {
  for (const {place, message} of findings) {
    process.stderr.write(`${place}: ${message}\n`);
  }
}
