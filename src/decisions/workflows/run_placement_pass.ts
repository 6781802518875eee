import {Workflow} from '../../types/workflow';
import {createCandidateOrder} from './candidate_order';
import {HostRoom} from './host_room';
import {PlacedTask, placeTasks} from './place_tasks';
import {PlacementCandidate, PlacementPass} from './placement_pass';
import {Reservations, createReservations} from './reservations';
import {createRoomExhaustion} from './room_exhaustion';
import {StartLimit} from './start_limit';
import {TaskPhase, TaskRecord} from './task_record';
import {createUnplaceableSizes} from './unplaceable_sizes';
import {WorkflowRecord} from './workflow_record';

/** Conditions and effects of a placement pass. */
export interface PlacementEffects {
  /** Returns which hosts may run a group's waiting tasks at all. */
  getFilter(
    workflow: Workflow,
    waiting: readonly TaskRecord[],
  ): (room: HostRoom) => boolean;
  /** Called with the waiting tasks of a group if some of them found no host. */
  onUnplaced(workflow: Workflow, waiting: readonly TaskRecord[]): void;
  /** Starts the tasks of a workflow that were placed. */
  start(record: WorkflowRecord, placed: readonly PlacedTask[]): void;
  /** Called when the placement of a workflow throws; the others go on. */
  onInvalid(record: WorkflowRecord, error: unknown): void;
}

/**
 * Decides which waiting tasks of one pool start now, and on which hosts.
 *
 * The stages are the order of the candidates, the limit per organisation, the
 * reservations and the choice of the host.
 *
 * @param pass hosts and candidates
 * @param limit limit per organisation
 * @param effects conditions and effects of the placements
 * @returns what is kept for work that found no host
 */
export function runPlacementPass(
  pass: PlacementPass,
  limit: StartLimit,
  {getFilter, onUnplaced, start, onInvalid}: PlacementEffects,
): Reservations {
  const {rooms, candidates} = pass;
  const order = createCandidateOrder(pass);
  const reservations = createReservations(pass);
  const unplaceable = createUnplaceableSizes();
  const exhaustion = createRoomExhaustion(rooms, candidates);
  // Work that finds no host still asks for tickets, or may keep hosts.
  const asksAll =
    pass.listTasks !== undefined ||
    candidates.some(({record}) => record.workflow.advice !== undefined);

  function placeGroup(
    {workflow}: WorkflowRecord,
    group: readonly TaskRecord[],
    slackMs: number,
  ): readonly PlacedTask[] {
    const {gang} = group[0].step;
    const waiting = limit.select(group.filter(isWaiting));
    if (waiting.length === 0) return [];
    if (gang && waiting.length < group.length) return [];
    const isAllowed = getFilter(workflow, waiting);
    const placed = placeTasks(
      waiting,
      rooms,
      isAllowed,
      unplaceable,
      reservations,
    );
    limit.take(placed.map(({task}) => task));
    if (gang && placed.length > 0) alignRuns(placed);
    if (placed.length < waiting.length) {
      onUnplaced(workflow, waiting);
      const chosen = new Set(placed.map(({task}) => task));
      reservations.consider(
        waiting.filter(task => !chosen.has(task)),
        isAllowed,
        slackMs,
      );
    }
    return placed;
  }

  function place({record, groups, slackMs}: PlacementCandidate): void {
    const placed = groups.flatMap(group => placeGroup(record, group, slackMs));
    if (placed.length > 0) start(record, placed);
  }

  for (let next = order.next(); next; next = order.next()) {
    if (!asksAll && exhaustion.isReached()) break;
    try {
      place(next);
    } catch (error) {
      onInvalid(next.record, error);
    }
  }
  return reservations;
}

/** Gives all members of a gang the same run number. */
function alignRuns(placed: readonly PlacedTask[]): void {
  const run = placed.reduce((last, {task}) => Math.max(last, task.run), 0);
  for (const {task} of placed) task.run = run;
}

function isWaiting({phase}: TaskRecord): boolean {
  return phase === TaskPhase.Waiting;
}
