import {Step, Workflow} from '../../types/workflow';
import {IncarnationId} from './incarnation_id';
import {Placement} from './placement';

/** Phase of a task. */
export enum TaskPhase {
  Waiting = 'waiting',
  /**
   * Assigned to a host, until the host reports its end or the lease expires.
   */
  Placed = 'placed',
  Done = 'done',
}

/** Mutable state of one task of a workflow, kept by the leader. */
export interface TaskRecord {
  readonly workflow: Workflow;
  /** Name by which hosts know the task. */
  readonly name: string;
  /**
   * Key of its workflow, occurrence and step; tasks with the same key have the
   * same dependencies.
   */
  readonly group: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
  readonly step: Step;
  phase: TaskPhase;
  /**
   * Number of the last run that was ordered, counted from 1; 0 before the
   * first.
   */
  run: number;
  /**
   * Number of the last run that this leader has given up without knowing its
   * end; 0 if there is none.
   */
  lostRun: number;
  /**
   * Number of the run whose end as done was reported first in this term; 0
   * before.
   */
  doneRun: number;
  /** Number of that end; 0 before. */
  doneEnd: number;
  /** Host that has reported it; undefined before. */
  doneOn: IncarnationId | undefined;
  failures: number;
  /** Number of crashes of hosts that the task may have caused. */
  crashes: number;
  /** Number of these crashes for which it was the only possible cause. */
  ownCrashes: number;
  /** Whether a host has listed a run of it in this term. */
  hasBeenListed: boolean;
  checkpoint: string;
  placement: Placement | undefined;
  /** Hosts on which a run of the task has failed or stalled. */
  readonly avoid: Set<string>;
}
