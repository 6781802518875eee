import {TaskRecord, measureAvailability} from '../../decisions/workflows';
import {Log, LogContext} from '../../telemetry';
import {createLineLimit} from './line_limit';

/**
 * Logs what makes tasks unavailable whose step limits that, and when they serve
 * again.
 */
export interface AvailabilityLog {
  /** Logs an order to stop a task's run, with what is known of its step. */
  recordStop(task: TaskRecord, cause: string): void;
  /** Logs the reported end of a task's run. */
  recordEnd(task: TaskRecord, run: number, how: string): void;
  /** Logs a run that was given up without its end. */
  recordLoss(task: TaskRecord, cause: string): void;
  /** Logs that a run is past its startup. */
  recordServing(task: TaskRecord): void;
}

/** Maximum number of lines a second; above it, lines are left out. */
const MAX_LINES = 100;
const LINE_PERIOD_MS = 1_000;

/**
 * Creates the log of a term.
 *
 * @param fence the term's fencing token
 * @param listGroup returns all tasks of a task's step
 * @param log receives the lines
 */
export function createAvailabilityLog(
  fence: number,
  listGroup: (task: TaskRecord) => readonly TaskRecord[],
  log: Log,
): AvailabilityLog {
  const limit = createLineLimit(MAX_LINES, LINE_PERIOD_MS);

  function write(
    decision: string,
    task: TaskRecord,
    fields: LogContext = {},
  ): void {
    const {mayMiss} = task.step;
    if (mayMiss === undefined) return;
    const omitted = limit.admit();
    if (omitted === undefined) return;
    log.info('availability', {
      decision,
      request: task.workflow.id,
      task: task.name,
      run: task.run,
      host: task.placement?.hostId,
      ...fields,
      ...describeStep(listGroup(task), task),
      allowed: mayMiss,
      fence,
      ...(omitted > 0 ? {omitted} : {}),
    });
  }

  return {
    recordStop: (task, cause) => write('stop', task, {cause}),
    recordEnd: (task, run, how) => write('end', task, {run, how}),
    recordLoss: (task, cause) => write('lost', task, {cause}),
    recordServing: task => write('serving', task),
  };
}

/** Describes the other tasks of a step, as `index reason` of each absent one. */
function describeStep(
  group: readonly TaskRecord[],
  task: TaskRecord,
): LogContext {
  const now = performance.now();
  const {absent, maxReportAgeMs} = measureAvailability(group, task, now);
  return {
    absent: absent.size,
    others: [...absent].map(([{index}, why]) => `${index} ${why}`).join(', '),
    maxReportAgeMs: Math.round(maxReportAgeMs),
  };
}
