import {StoredGroup, StoredProgress} from './stored_progress';
import {StoredState} from './stored_state';
import {TaskPhase, TaskRecord} from './task_record';
import {WorkflowRecord} from './workflow_record';

/** Returns the state of a workflow that every entry host watches. */
export function encodeState({
  workflow,
  state,
  begun,
  endedAt,
}: WorkflowRecord): StoredState {
  return {
    queue: workflow.queue,
    ...(workflow.organisation === undefined
      ? {}
      : {organisation: workflow.organisation}),
    state,
    begun,
    ...(endedAt === 0 ? {} : {endedAt}),
  };
}

/**
 * Returns the progress of an unfinished workflow that the next leader needs to
 * take over.
 *
 * @param record the workflow
 * @param keepsCheckpoints whether the checkpoints of its tasks are included
 */
export function encodeProgress(
  record: WorkflowRecord,
  keepsCheckpoints = true,
): StoredProgress {
  const groups: Record<string, StoredGroup> = {};
  for (const [key, tasks] of record.groups) {
    if (!tasks.some(task => task.run > 0)) continue;
    groups[key] = encodeGroup(tasks, keepsCheckpoints);
  }
  return groups;
}

function encodeGroup(
  tasks: readonly TaskRecord[],
  keepsCheckpoints: boolean,
): StoredGroup {
  const checkpoints: Record<number, string> = {};
  const placements: Record<number, string> = {};
  const done: number[] = [];
  for (const {index, phase, checkpoint, placement} of tasks) {
    if (phase === TaskPhase.Done) done.push(index);
    else if (keepsCheckpoints && checkpoint !== '') {
      checkpoints[index] = checkpoint;
    }
    if (placement) {
      const {hostId, bornAt, address} = placement;
      placements[index] = `${hostId}|${bornAt}|${address}`;
    }
  }
  return {
    runs: tasks.map(task => task.run),
    done,
    ...(tasks.some(task => task.failures > 0)
      ? {failures: tasks.map(task => task.failures)}
      : {}),
    ...(tasks.some(task => task.crashes > 0)
      ? {crashes: tasks.map(task => task.crashes)}
      : {}),
    ...(tasks.some(task => task.ownCrashes > 0)
      ? {ownCrashes: tasks.map(task => task.ownCrashes)}
      : {}),
    ...(Object.keys(checkpoints).length > 0 ? {checkpoints} : {}),
    ...(Object.keys(placements).length > 0 ? {placements} : {}),
  };
}
