import {
  AvailabilityView,
  Placement,
  TaskRecord,
  measureAvailability,
} from '../../decisions/workflows';
import {Log, LogContext} from '../../telemetry';
import {createLineLimit} from './line_limit';

/**
 * Logs what makes tasks unavailable whose step limits that, and when they serve
 * again.
 */
export interface AvailabilityLog {
  /** Logs an order to stop a task's run, with what is known of its step. */
  recordStop(task: TaskRecord, cause: string): void;
  /** Logs, once a run, that its stop has to wait for other tasks of its step. */
  recordHeld(task: TaskRecord, cause: string): void;
  /** Warns that a run is stopped although its stop should wait. */
  recordForced(task: TaskRecord, cause: string): void;
  /** Logs the reported end of a task's run. */
  recordEnd(task: TaskRecord, run: number, how: string): void;
  /** Logs a run that was given up without its end. */
  recordLoss(task: TaskRecord, cause: string): void;
  /** Logs that a run is past its startup. */
  recordServing(task: TaskRecord): void;
}

/** Maximum number of lines a second; above it, lines are left out. */
const MAX_LINES = 100;
/** The same for stops that have to wait. */
const MAX_HELD_LINES = 10;
const LINE_PERIOD_MS = 1_000;

/**
 * Creates the log of a term.
 *
 * @param fence the term's fencing token
 * @param listGroup returns all tasks of a task's step
 * @param getView returns what else the leader knows
 * @param log receives the lines
 */
export function createAvailabilityLog(
  fence: number,
  listGroup: (task: TaskRecord) => readonly TaskRecord[],
  getView: () => AvailabilityView,
  log: Log,
): AvailabilityLog {
  const limit = createLineLimit(MAX_LINES, LINE_PERIOD_MS);
  const heldLimit = createLineLimit(MAX_HELD_LINES, LINE_PERIOD_MS);
  /** Monotonic time in ms at which the stop of a run was first held back. */
  const heldSince = new WeakMap<Placement, number>();

  function write(
    decision: string,
    task: TaskRecord,
    fields: LogContext = {},
    lineLimit = limit,
    level: 'info' | 'warn' = 'info',
  ): void {
    const {mayMiss} = task.step;
    if (mayMiss === undefined) return;
    const omitted = lineLimit.admit();
    if (omitted === undefined) return;
    log[level]('availability', {
      decision,
      request: task.workflow.id,
      task: task.name,
      run: task.run,
      host: task.placement?.hostId,
      ...fields,
      ...describeStep(listGroup(task), task, getView()),
      allowed: mayMiss,
      fence,
      ...(omitted > 0 ? {omitted} : {}),
    });
  }

  function getHeldMs({placement}: TaskRecord): number {
    const since = placement && heldSince.get(placement);
    return since === undefined ? 0 : Math.round(performance.now() - since);
  }

  return {
    recordStop: (task, cause) =>
      write('stop', task, {cause, heldMs: getHeldMs(task)}),
    recordHeld(task, cause) {
      const {placement} = task;
      if (!placement || heldSince.has(placement)) return;
      heldSince.set(placement, performance.now());
      write('held', task, {cause}, heldLimit);
    },
    recordForced: (task, cause) =>
      write('forced', task, {cause}, limit, 'warn'),
    recordEnd: (task, run, how) => write('end', task, {run, how}),
    recordLoss: (task, cause) => write('lost', task, {cause}),
    recordServing: task => write('serving', task),
  };
}

/** Describes the other tasks of a step, as `index reason` of each absent one. */
function describeStep(
  group: readonly TaskRecord[],
  task: TaskRecord,
  view: AvailabilityView,
): LogContext {
  const {absent, maxReportAgeMs} = measureAvailability(group, task, view);
  return {
    absent: absent.size,
    others: [...absent].map(([{index}, why]) => `${index} ${why}`).join(', '),
    maxReportAgeMs: Math.round(maxReportAgeMs),
  };
}
