import {TaskReport, TaskStart, TaskState} from '../../ports';
import {TaskUsage} from '../../types';
import {RunRecord} from './run_record';

/** An attempt of a job at a worker. */
export interface Task {
  readonly start: TaskStart;
  readonly run: RunRecord;
  readonly durationMs: number;
  state: TaskState;
  /** Share of the work done until the last change of state, 0 to 1. */
  progress: number;
  /** Unix time in ms of the last start or resumption. */
  resumedAt: number;
  leaseTimer: NodeJS.Timeout;
  endTimer?: NodeJS.Timeout;
}

/** Run time of a task whose input has no "work-ms=N", in ms. */
const DEFAULT_TASK_MS = 1_000;

/** Time in ms after a task's start until its report includes its usage. */
const USAGE_LAG_MS = 500;

/** Creates a task that starts at the current time. */
export function createTask(start: TaskStart, hostId: string): Task {
  return {
    start,
    run: {
      id: getTaskKey(start.jobId, start.attempt),
      hostId,
      startedAt: Date.now(),
      completed: false,
    },
    durationMs: getDurationMs(start.input),
    state: TaskState.Running,
    progress: start.checkpoint ? Number(start.checkpoint) : 0,
    resumedAt: Date.now(),
    leaseTimer: setTimeout(() => {}, 0),
  };
}

/** Creates the report of an attempt that was stopped before it started. */
export function createNotStartedReport(
  jobId: string,
  attempt: number,
  term: number,
): TaskReport {
  return {jobId, attempt, term, state: TaskState.NotStarted, progress: 0};
}

/**
 * Returns a task's usage, read from "use-processors=N" and "use-memory-mb=N" in
 * its input; undefined until the usage lag has passed.
 */
export function getUsage({start, run}: Task): TaskUsage | undefined {
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

/** Returns the key of one attempt of a job. */
export function getTaskKey(jobId: string, attempt: number): string {
  return `${jobId}#${attempt}`;
}

/** Returns the run time in ms, read from "work-ms=N" in a task's input. */
function getDurationMs(input: string): number {
  return readNumber(input, 'work-ms') ?? DEFAULT_TASK_MS;
}

/**
 * Returns whether a task fails on every worker: its input has "always-fails".
 */
export function alwaysFails({input}: TaskStart): boolean {
  return /always-fails/.test(input);
}
