import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {Fault} from './fault';

/** A fault list as it is kept in a file. */
export interface FaultList {
  readonly seed: number;
  /** Why it failed; empty until that is known. */
  readonly cause: string;
  readonly faults: readonly Fault[];
}

const REGRESSIONS = join('bench', 'soak', 'regressions');

/** Reads a fault list from a file. */
export function readFaultList(path: string): FaultList {
  return JSON.parse(readFileSync(path, 'utf8'));
}

/** Reads the lists that have failed once. */
export function readRegressions(): readonly FaultList[] {
  return readdirSync(REGRESSIONS)
    .filter(name => name.endsWith('.json'))
    .sort()
    .map(name => readFaultList(join(REGRESSIONS, name)));
}
