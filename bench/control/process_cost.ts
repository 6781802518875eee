import {readFileSync} from 'node:fs';
import {ChildProcess} from 'node:child_process';

/** What a process has used so far. */
export interface ProcessCost {
  /** Processor time in ms. */
  readonly processorMs: number;
  /** Resident memory in MB. */
  readonly residentMb: number;
  /** Bytes that the process has read and written, by sockets and logs. */
  readonly bytes: number;
}

/** Unit of processor times in /proc, in ms. */
const TICK_MS = 10;
const BYTES_PER_MB = 1_048_576;
const KB = 1_024;
/** Positions of user and system time behind the command's closing bracket. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Reads the cost of a process from /proc. */
export function readProcessCost({pid}: ChildProcess): ProcessCost {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    processorMs: ticks * TICK_MS,
    residentMb: (readField(status, 'VmRSS') * KB) / BYTES_PER_MB,
    bytes: readField(io, 'rchar') + readField(io, 'wchar'),
  };
}

function readField(text: string, name: string): number {
  const found = new RegExp(`^${name}:\\s+([0-9]+)`, 'm').exec(text);
  return Number(found?.[1] ?? 0);
}
