import {Step, Workflow, WorkflowState} from '../../types/workflow';
import {Placement} from './placement';
import {StoredGroup, StoredProgress} from './stored_progress';
import {StoredState} from './stored_state';
import {TaskPhase, TaskRecord} from './task_record';

/** Mutable state of one workflow, kept by the leader. */
export interface WorkflowRecord {
  readonly workflow: Workflow;
  state: WorkflowState;
  /** Whether a host has confirmed the start of one of its tasks. */
  begun: boolean;
  /** Unix time in ms of the acceptance on the clock of the leader. */
  readonly acceptedAt: number;
  /** Unix time in ms of the end; 0 before. */
  endedAt: number;
  /**
   * Whether an error in its handling excludes it from new placements for the
   * rest of the term.
   */
  isSetAside: boolean;
  /** Whether it was submitted beyond the rate of its organisation. */
  isExtra: boolean;
  /** Tasks by `occurrence.step`, created on first access. */
  readonly groups: Map<string, TaskRecord[]>;
  /** Incremented by each change that has to be stored. */
  version: number;
  /** Version that was stored last. */
  storedVersion: number;
}

const FINAL_STATES: ReadonlySet<WorkflowState> = new Set([
  WorkflowState.Completed,
  WorkflowState.Failed,
  WorkflowState.Cancelled,
]);

/** Returns whether a state is final. */
export function isFinal(state: WorkflowState): boolean {
  return FINAL_STATES.has(state);
}

/** Returns whether tasks of a workflow may still be placed. */
export function isOpen({state, isSetAside}: WorkflowRecord): boolean {
  return !isSetAside && !isFinal(state);
}

/**
 * Creates the record of a workflow and restores stored progress.
 *
 * @param workflow the workflow
 * @param stored its state, as stored by an entry host or an earlier leader
 * @param progress its progress, as stored by an earlier leader
 * @param now monotonic time in ms
 * @param acceptedAt Unix time in ms of the acceptance on the leader's clock
 */
export function createWorkflowRecord(
  workflow: Workflow,
  stored: StoredState | undefined,
  progress: StoredProgress,
  now: number,
  acceptedAt = workflow.acceptedAt,
): WorkflowRecord {
  const record: WorkflowRecord = {
    workflow,
    state: stored?.state ?? WorkflowState.Pending,
    begun: stored?.begun ?? false,
    acceptedAt,
    endedAt: stored?.endedAt ?? 0,
    isSetAside: false,
    isExtra: false,
    groups: new Map(),
    version: 0,
    storedVersion: 0,
  };
  for (const [key, group] of Object.entries(progress)) {
    const [occurrence, stepIndex] = key.split('.').map(Number);
    if (!workflow.steps[stepIndex]) continue;
    const tasks = getGroup(record, occurrence, stepIndex);
    for (const task of tasks) restoreTask(task, group, now);
  }
  return record;
}

/**
 * Returns the tasks of one step in one occurrence and creates them on first
 * access.
 */
export function getGroup(
  record: WorkflowRecord,
  occurrence: number,
  stepIndex: number,
): TaskRecord[] {
  const key = `${occurrence}.${stepIndex}`;
  let group = record.groups.get(key);
  if (!group) {
    group = createTasks(record.workflow, occurrence, stepIndex);
    record.groups.set(key, group);
  }
  return group;
}

/** Returns a task that has been created, by its name. */
export function findTask(
  record: WorkflowRecord,
  name: string,
): TaskRecord | undefined {
  const [, occurrence, stepIndex, index] = name.split('.');
  const task = record.groups.get(`${occurrence}.${stepIndex}`)?.[Number(index)];
  return task?.name === name ? task : undefined;
}

/** Calls a function with each task that has been created. */
export function forEachTask(
  record: WorkflowRecord,
  visit: (task: TaskRecord) => void,
): void {
  for (const group of record.groups.values()) group.forEach(visit);
}

/** Returns whether a host may be executing a run of the workflow. */
export function hasPlacedTask({groups}: WorkflowRecord): boolean {
  for (const group of groups.values()) {
    if (group.some(task => task.placement !== undefined)) return true;
  }
  return false;
}

/**
 * Returns the Unix time in ms at which an occurrence is due; 0 if it is due
 * immediately.
 */
export function getDueAt(workflow: Workflow, occurrence: number): number {
  return workflow.firstAt === 0
    ? 0
    : workflow.firstAt + occurrence * workflow.intervalMs;
}

/** Returns the groups of due occurrences whose dependencies are done. */
export function listReadyGroups(
  record: WorkflowRecord,
  unixNow: number,
): readonly TaskRecord[][] {
  const {workflow} = record;
  const ready: TaskRecord[][] = [];
  for (let k = 0; k < workflow.occurrences; k += 1) {
    if (getDueAt(workflow, k) > unixNow) break;
    workflow.steps.forEach((step, index) => {
      if (step.after.every(earlier => isGroupDone(record, k, earlier))) {
        ready.push(getGroup(record, k, index));
      }
    });
  }
  return ready;
}

/** Returns the first unfinished occurrence, or the last one if all are done. */
export function getFirstUnfinishedOccurrence(record: WorkflowRecord): number {
  const {occurrences, steps} = record.workflow;
  let occurrence = 0;
  while (
    occurrence < occurrences - 1 &&
    steps.every((_, index) => isGroupDone(record, occurrence, index))
  ) {
    occurrence += 1;
  }
  return occurrence;
}

/** Returns whether all tasks of all occurrences are done. */
export function isComplete(record: WorkflowRecord): boolean {
  const {occurrences, steps} = record.workflow;
  for (let k = 0; k < occurrences; k += 1) {
    for (let index = 0; index < steps.length; index += 1) {
      if (!isGroupDone(record, k, index)) return false;
    }
  }
  return true;
}

function isGroupDone(
  record: WorkflowRecord,
  occurrence: number,
  stepIndex: number,
): boolean {
  const group = record.groups.get(`${occurrence}.${stepIndex}`);
  return group?.every(task => task.phase === TaskPhase.Done) ?? false;
}

function createTasks(
  workflow: Workflow,
  occurrence: number,
  stepIndex: number,
): TaskRecord[] {
  const step: Step = workflow.steps[stepIndex];
  return Array.from({length: step.taskCount}, (_, index) => ({
    workflow,
    name: `${workflow.id}.${occurrence}.${stepIndex}.${index}`,
    group: `${workflow.id}.${occurrence}.${stepIndex}`,
    occurrence,
    stepIndex,
    index,
    step,
    phase: TaskPhase.Waiting,
    run: 0,
    lostRun: 0,
    doneRun: 0,
    doneEnd: 0,
    doneOn: undefined,
    failures: 0,
    crashes: 0,
    ownCrashes: 0,
    hasBeenListed: false,
    checkpoint: '',
    placement: undefined,
    avoid: new Set<string>(),
  }));
}

/**
 * Restores a task; a run that an earlier leader ordered counts as placed until
 * its host reports.
 */
function restoreTask(task: TaskRecord, stored: StoredGroup, now: number): void {
  task.run = stored.runs[task.index] ?? 0;
  task.failures = stored.failures?.[task.index] ?? 0;
  task.crashes = stored.crashes?.[task.index] ?? 0;
  task.ownCrashes = stored.ownCrashes?.[task.index] ?? 0;
  task.checkpoint = stored.checkpoints?.[task.index] ?? '';
  const place = stored.placements?.[task.index];
  if (place) {
    task.phase = TaskPhase.Placed;
    task.placement = restorePlacement(place, task.run, now);
  }
  // A gang's tasks are done before the hosts of all members report their ends.
  if (stored.done.includes(task.index)) task.phase = TaskPhase.Done;
}

function restorePlacement(place: string, run: number, now: number): Placement {
  const [hostId, bornAt, address] = place.split('|');
  const isWhole = false;
  const placement = createPlacement(
    hostId,
    Number(bornAt),
    address,
    run,
    now,
    isWhole,
  );
  placement.lastUnsettledReport = 0;
  placement.isOrdered = true;
  placement.isAdopted = true;
  // The pace that an earlier leader ordered is unknown.
  placement.pace = -1;
  return placement;
}

/** Creates the placement of a run whose start has not been acknowledged yet. */
export function createPlacement(
  hostId: string,
  bornAt: number,
  address: string,
  run: number,
  now: number,
  isWhole = true,
): Placement {
  return {
    hostId,
    bornAt,
    address,
    run,
    isOrdered: false,
    isAdopted: false,
    confirmed: false,
    confirmedAt: now,
    listed: false,
    stopping: false,
    lastUnsettledReport: Infinity,
    stoppedAt: 0,
    orderedAt: now,
    isWhole,
    percent: 0,
    seenAt: now,
    progressedAt: now,
    load: 0,
    pace: 100,
  };
}
