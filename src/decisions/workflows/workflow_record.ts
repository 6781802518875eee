import {Step, Workflow, WorkflowState} from '../../types/workflow';
import {Placement} from './placement';
import {StoredGroup, StoredProgress} from './stored_progress';
import {StoredState} from './stored_state';
import {TaskPhase, TaskRecord} from './task_record';

/** What the leader knows of one workflow; it changes in place. */
export interface WorkflowRecord {
  readonly workflow: Workflow;
  state: WorkflowState;
  /** True once a host has confirmed the start of one of its tasks. */
  begun: boolean;
  /** Unix time in ms of the end; 0 before. */
  endedAt: number;
  /** Tasks by the group they belong to, made when their occurrence is looked at. */
  readonly groups: Map<string, TaskRecord[]>;
  /** Rises with each change that has to be stored. */
  version: number;
  storedVersion: number;
}

/** Percent of a lasting task that is at work. */
const AT_WORK = 100;
/** Age in ms of a host's last report up to which its runs count as at work: a waiting report and a slow answer. */
const SEEN_MS = 1_500;

const FINAL: ReadonlySet<WorkflowState> = new Set([
  WorkflowState.Completed,
  WorkflowState.Failed,
  WorkflowState.Cancelled,
]);

/** Tells whether a state is never left again. */
export function isFinal(state: WorkflowState): boolean {
  return FINAL.has(state);
}

/**
 * Creates what the leader knows of a workflow.
 *
 * @param workflow the workflow
 * @param stored its state, as an entry host or an earlier leader stored it
 * @param progress what an earlier leader stored of its runs
 * @param now steady time in ms
 */
export function createWorkflowRecord(
  workflow: Workflow,
  stored: StoredState | undefined,
  progress: StoredProgress,
  now: number,
): WorkflowRecord {
  const record: WorkflowRecord = {
    workflow,
    state: stored?.state ?? WorkflowState.Pending,
    begun: stored?.begun ?? false,
    endedAt: stored?.endedAt ?? 0,
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

/** Returns the tasks of one step in one occurrence. */
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

/** Calls a function with each task that was looked at. */
export function forEachTask(
  record: WorkflowRecord,
  visit: (task: TaskRecord) => void,
): void {
  for (const group of record.groups.values()) group.forEach(visit);
}

/** Unix time in ms at which an occurrence is due. */
export function getDueAt(workflow: Workflow, occurrence: number): number {
  return workflow.firstAt === 0
    ? 0
    : workflow.firstAt + occurrence * workflow.intervalMs;
}

/** Returns the groups whose tasks may start at a Unix time. */
export function listOpenGroups(
  record: WorkflowRecord,
  unixNow: number,
): readonly TaskRecord[][] {
  const {workflow} = record;
  const open: TaskRecord[][] = [];
  for (let k = 0; k < workflow.occurrences; k += 1) {
    if (getDueAt(workflow, k) > unixNow) break;
    workflow.steps.forEach((step, index) => {
      if (step.after.every(earlier => isGroupDone(record, k, earlier))) {
        open.push(getGroup(record, k, index));
      }
    });
  }
  return open;
}

/** Returns the first occurrence that isn't done; the last one if all are. */
export function getFirstOpenOccurrence(record: WorkflowRecord): number {
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

/** Tells whether a task that lasts is at work, as far as its host has told lately. */
export function isAtWork({placement}: TaskRecord, now: number): boolean {
  return (
    placement !== undefined &&
    placement.confirmed &&
    !placement.stopping &&
    placement.percent >= AT_WORK &&
    now - placement.seenAt < SEEN_MS
  );
}

/**
 * Tells whether an order may end a task: with it, not more of its step may be
 * away than the step allows.
 */
export function mayEnd(
  group: readonly TaskRecord[],
  task: TaskRecord,
  now: number,
): boolean {
  const {mayMiss} = task.step;
  if (mayMiss === undefined) return true;
  const away = group.filter(
    other => other !== task && !isAtWork(other, now),
  ).length;
  return away < mayMiss;
}

/** Tells whether all tasks of all occurrences are done. */
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
    failures: 0,
    checkpoint: '',
    placement: undefined,
    avoid: new Set<string>(),
  }));
}

/** A run that an earlier leader ordered counts as placed until its host tells. */
function restoreTask(task: TaskRecord, stored: StoredGroup, now: number): void {
  task.run = stored.runs[task.index] ?? 0;
  task.failures = stored.failures?.[task.index] ?? 0;
  task.checkpoint = stored.checkpoints?.[task.index] ?? '';
  const place = stored.placements?.[task.index];
  if (stored.done.includes(task.index)) task.phase = TaskPhase.Done;
  else if (place) {
    task.phase = TaskPhase.Placed;
    task.placement = restorePlacement(place, task.run, now);
  }
}

function restorePlacement(place: string, run: number, now: number): Placement {
  const [hostId, bornAt, address] = place.split('|');
  const placement = createPlacement(hostId, Number(bornAt), address, run, now);
  placement.settledReport = 0;
  // What an earlier leader ordered is not known.
  placement.pace = -1;
  return placement;
}

/** Creates the placement of a run that has not been answered yet. */
export function createPlacement(
  hostId: string,
  bornAt: number,
  address: string,
  run: number,
  now: number,
): Placement {
  return {
    hostId,
    bornAt,
    address,
    run,
    confirmed: false,
    stopping: false,
    settledReport: Infinity,
    stoppedAt: 0,
    orderedAt: now,
    percent: 0,
    seenAt: now,
    movedAt: now,
    load: 0,
    pace: 100,
  };
}
