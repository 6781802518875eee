import {TaskReport, TaskStart, TaskState} from '../../ports';
import {TaskUsage} from '../../types';
import {RunRecord} from './run_record';

/** One attempt of a job at a worker. */
export interface Task {
  readonly start: TaskStart;
  readonly run: RunRecord;
  readonly durationMs: number;
  state: TaskState;
  /** Work done up to the last change of state, 0 to 1. */
  progress: number;
  resumedAt: number;
  leaseTimer: NodeJS.Timeout;
  endTimer?: NodeJS.Timeout;
}

/** Run time of a task whose input states none, in ms. */
const DEFAULT_TASK_MS = 1_000;

/** Lag of a task's usage in its report, in ms. */
const USAGE_LAG_MS = 500;

/** Creates a task that starts now. */
export function createTask(start: TaskStart, hostId: string): Task {
  return {
    start,
    run: {
      id: taskKey(start.jobId, start.attempt),
      hostId,
      startedAt: Date.now(),
      completed: false,
    },
    durationMs: durationOf(start.input),
    state: TaskState.Running,
    progress: start.checkpoint ? Number(start.checkpoint) : 0,
    resumedAt: Date.now(),
    leaseTimer: setTimeout(() => {}, 0),
  };
}

/** Reports an attempt that never started. */
export function reportNotStarted(
  jobId: string,
  attempt: number,
  term: number,
): TaskReport {
  return {jobId, attempt, term, state: TaskState.NotStarted, progress: 0};
}

/** Reads "use-processors=N" and "use-memory-mb=N"; known only after a lag. */
export function usageOf({start, run}: Task): TaskUsage | undefined {
  if (Date.now() - run.startedAt < USAGE_LAG_MS) return undefined;
  return {
    processors:
      readNumber(start.input, 'use-processors') ?? start.size.processors,
    memoryMb: readNumber(start.input, 'use-memory-mb') ?? start.size.memoryMb,
  };
}

function readNumber(input: string, name: string): number | undefined {
  const match = new RegExp(`${name}=(\\d+(?:\\.\\d+)?)`).exec(input);
  return match ? Number(match[1]) : undefined;
}

/** Names one attempt of a job. */
export function taskKey(jobId: string, attempt: number): string {
  return `${jobId}#${attempt}`;
}

/** Reads "work-ms=N" from a task's input. */
function durationOf(input: string): number {
  return readNumber(input, 'work-ms') ?? DEFAULT_TASK_MS;
}

/** Tells whether a task fails wherever it runs: its input says "always-fails". */
export function isFaulty({input}: TaskStart): boolean {
  return /always-fails/.test(input);
}
