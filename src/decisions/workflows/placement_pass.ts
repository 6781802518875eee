import {Organisation} from '../../types/workflow';
import {HostRoom} from './host_room';
import {Urgency} from './order_workflows';
import {OrganisationUsage} from './organisation_usage';
import {RunTimes} from './run_times';
import {TaskRecord} from './task_record';
import {WorkflowRecord} from './workflow_record';

/** A workflow with tasks that may start now. */
export interface PlacementCandidate {
  readonly record: WorkflowRecord;
  readonly urgency: Urgency;
  /**
   * Time in ms by which its start may be delayed before it loses its rank;
   * negative if it has no value any more.
   */
  readonly slackMs: number;
  /** Groups with waiting tasks whose dependencies are done. */
  readonly groups: readonly (readonly TaskRecord[])[];
}

/** Input of one placement pass, shared by the stages that decide it. */
export interface PlacementPass {
  readonly pool: string;
  /** Monotonic time in ms. */
  readonly now: number;
  /** Usable hosts of the pool; their free room shrinks as tasks are placed. */
  readonly rooms: readonly HostRoom[];
  readonly candidates: readonly PlacementCandidate[];
  readonly runTimes: RunTimes;
  /** Configured organisations by name. */
  readonly organisations: ReadonlyMap<string, Organisation>;
  /** What may be running of each organisation. */
  readonly usage: OrganisationUsage;
  /**
   * Returns the tasks that are placed on a host; absent if the pass does not
   * look ahead.
   */
  readonly listTasks?: (room: HostRoom) => Iterable<TaskRecord>;
}
