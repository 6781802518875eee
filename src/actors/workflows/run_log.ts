import {
  IncarnationId,
  TaskPhase,
  TaskRecord,
  WorkflowRecord,
  forEachTask,
  isFinal,
} from '../../decisions/workflows';
import {Log, LogContext} from '../../telemetry';
import {TaskEnd, TaskEndKind} from '../../types/workflow';
import {createBoundedWarnings} from './bounded_warnings';
import {EarlierRun, describeEarlierRun, getLossCause} from './earlier_run';
import {RunLoss} from './run_loss';

/**
 * Logs what a term does without the end of a run, and what contradicts it
 * later: tasks that are started again, and ends of runs that were given up.
 */
export interface RunLog {
  /** Logs that the term has read all workflows and opened its sessions. */
  recordTakeover(
    records: ReadonlyMap<string, WorkflowRecord>,
    hosts: number,
  ): void;
  /**
   * Logs a workflow that is read only after the takeover, although it was
   * accepted long before.
   */
  recordAdmission(record: WorkflowRecord, ageMs: number): void;
  /** Records a run that was given up without its end. */
  recordLoss(task: TaskRecord, loss: RunLoss): void;
  /** Logs the start order of a run if an earlier one was given up. */
  recordStart(task: TaskRecord): void;
  /**
   * Logs an end that contradicts the task's state; called before the end
   * changes that.
   *
   * @param isPlaced whether the end is that of the task's placed run
   */
  recordEnd(
    task: TaskRecord,
    end: TaskEnd,
    source: IncarnationId,
    isPlaced: boolean,
  ): void;
  /** Logs an end that is acknowledged although its task is not known. */
  recordUnknownEnd(
    record: WorkflowRecord | undefined,
    end: TaskEnd,
    source: IncarnationId,
  ): void;
}

/**
 * Age in ms from which a new workflow counts as read late; covers differences
 * between the clocks of entry hosts.
 */
const LATE_ADMISSION_MS = 10_000;

/**
 * Creates the log of a term.
 *
 * @param fence the term's fencing token
 * @param countRestart called with the cause of each start of a task of which an
 *     earlier run was given up; from a small fixed set
 * @param log receives the lines, at a bounded rate for each message and cause
 */
export function createRunLog(
  fence: number,
  countRestart: (cause: string) => void,
  log: Log,
): RunLog {
  const earlierRuns = new WeakMap<TaskRecord, EarlierRun>();
  const {warn} = createBoundedWarnings(log);

  function adopt(task: TaskRecord): void {
    const {run, phase} = task;
    if (run === 0 || phase !== TaskPhase.Waiting) return;
    earlierRuns.set(task, {run, loss: undefined, nextRun: run + 1});
  }

  return {
    recordTakeover(records, hosts) {
      let startedTasks = 0;
      let placedTasks = 0;
      for (const record of records.values()) {
        const isOngoing = !isFinal(record.state);
        if (isOngoing && record.begun && record.groups.size === 0) {
          const request = record.workflow.id;
          warn('progress missing', '', () => ({request, fence}));
        }
        forEachTask(record, task => {
          if (task.run > 0) startedTasks += 1;
          if (task.placement) placedTasks += 1;
          if (isOngoing) adopt(task);
        });
      }
      log.warn('took over', {
        fence,
        workflows: records.size,
        startedTasks,
        placedTasks,
        hosts,
      });
    },
    recordAdmission({workflow}, ageMs) {
      if (ageMs < LATE_ADMISSION_MS) return;
      warn('late workflow', '', () => ({
        request: workflow.id,
        ageMs: Math.round(ageMs),
        fence,
      }));
    },
    recordLoss(task, loss) {
      const {run} = loss;
      const earlier = earlierRuns.get(task);
      if (loss.mayHaveRun) {
        earlierRuns.set(task, {run, loss, nextRun: run + 1});
      } else if (earlier?.nextRun === run) earlier.nextRun += 1;
    },
    recordStart(task) {
      const earlier = earlierRuns.get(task);
      if (!earlier || earlier.nextRun !== task.placement?.run) return;
      const cause = getLossCause(earlier);
      countRestart(cause);
      warn('run started again', cause, () => ({
        request: task.workflow.id,
        task: task.name,
        run: task.run,
        host: task.placement?.hostId,
        failures: task.failures,
        ...describeEarlierRun(earlier),
        fence,
      }));
    },
    recordEnd(task, end, source, isPlaced) {
      const {run, kind, number} = end;
      const {doneRun, doneEnd, doneOn, step} = task;
      const earlier = earlierRuns.get(task);
      const read = () => describeEnd(task, end, source, earlier);
      const counts = !step.gang && !step.lasting;
      if (counts && kind === TaskEndKind.Done) {
        if (isDoneAgain(task, end, source)) {
          return warn('done again', '', () => ({
            ...read(),
            doneRun,
            doneHost: doneOn?.hostId,
            doneBornAt: doneOn?.bornAt,
            doneEnd,
            fence,
          }));
        }
        if (doneRun === 0) {
          task.doneRun = run;
          task.doneEnd = number;
          task.doneOn = source;
        }
      }
      if (isPlaced || !isLate(task, end, earlier)) return;
      warn('late end', kind, () => ({...read(), fence}));
    },
    recordUnknownEnd(record, {task, run, kind, number}, {hostId, bornAt}) {
      // The progress of a workflow that has ended is not kept.
      if (record && isFinal(record.state)) return;
      const cause = record ? 'no such task' : 'no such workflow';
      warn('unknown end', cause, () => ({
        task,
        run,
        how: kind,
        host: hostId,
        bornAt,
        end: number,
        cause,
        fence,
      }));
    },
  };
}

/**
 * Returns whether another run has ended as done before, or the same run on
 * another incarnation. A host may report one end to two sessions.
 */
function isDoneAgain(
  {doneRun, doneEnd, doneOn, phase, run: lastRun}: TaskRecord,
  {run, number}: TaskEnd,
  {hostId, bornAt}: IncarnationId,
): boolean {
  if (doneRun === 0) return phase === TaskPhase.Done && run !== lastRun;
  return (
    run !== doneRun ||
    number !== doneEnd ||
    hostId !== doneOn?.hostId ||
    bornAt !== doneOn.bornAt
  );
}

/**
 * Returns whether the end is that of a run that was given up, or of one that
 * the term does not know.
 */
function isLate(
  {phase, run: lastRun, step}: TaskRecord,
  {run, kind}: TaskEnd,
  earlier: EarlierRun | undefined,
): boolean {
  if (run > lastRun) return true;
  if (earlier?.loss && run <= earlier.run) return true;
  if (kind !== TaskEndKind.Done || step.lasting) return false;
  return phase !== TaskPhase.Done;
}

function describeEnd(
  {name, workflow, phase, run: lastRun, placement}: TaskRecord,
  {run, kind, number}: TaskEnd,
  {hostId, bornAt}: IncarnationId,
  earlier: EarlierRun | undefined,
): LogContext {
  return {
    request: workflow.id,
    task: name,
    run,
    how: kind,
    host: hostId,
    bornAt,
    end: number,
    phase,
    lastRun,
    lastHost: placement?.hostId,
    ...(earlier && describeEarlierRun(earlier)),
  };
}
