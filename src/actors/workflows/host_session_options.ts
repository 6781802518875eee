import {
  IncarnationId,
  OrganisationUsage,
  TaskRecord,
} from '../../decisions/workflows';
import {TaskHosts} from '../../ports/hosts';
import {Log} from '../../telemetry';
import {TaskEnd, TaskHost} from '../../types/workflow';
import {RunLoss} from './run_loss';
import {TermErrors} from './term_errors';
import {UnansweredStarts} from './unanswered_starts';

/** Dependencies and settings of a host session. */
export interface HostSessionOptions {
  readonly host: TaskHost;
  readonly hosts: TaskHosts;
  readonly fence: number;
  /** Length of the lease on the host's runs, in ms. */
  readonly leaseMs: number;
  /** Maximum remaining time of leases granted by earlier leaders, in ms. */
  readonly earlierLeaseMs: number;
  /** Maximum length of a lease that hosts accept, in ms. */
  readonly maxLeaseMs: number;
  /** Maximum time that a host takes to stop a run, in ms. */
  readonly stopMs: number;
  /**
   * Returns whether leases may be extended: the store has confirmed the term
   * recently enough.
   */
  readonly mayExtend: () => boolean;
  /** Start orders of the term, to all hosts. */
  readonly unansweredStarts: UnansweredStarts;
  /** Counts the runs that the host may execute. */
  readonly usage: OrganisationUsage;
  readonly log: Log;
  readonly errors: TermErrors;
  /**
   * Called when the host has confirmed that a run started; may be called
   * repeatedly for the same run.
   */
  readonly onBegun: (task: TaskRecord) => void;
  /** Called when a placed run is about to be ordered to stop. */
  readonly onStop: (task: TaskRecord, cause: string) => void;
  /**
   * Returns whether a stop may be sent again to a host that lists the run;
   * asked before each repetition.
   */
  readonly mayRepeatStop: (task: TaskRecord) => boolean;
  /** Called when the host first reports that a run is past its startup. */
  readonly onServing: (task: TaskRecord) => void;
  /** Called when the host has accepted or refused to start a task. */
  readonly onStartAnswered: (task: TaskRecord, accepted: boolean) => void;
  /**
   * Called when a run has ended; `acknowledge` must be called once the result
   * is stored.
   */
  readonly onEnd: (
    task: TaskRecord,
    end: TaskEnd,
    source: IncarnationId,
    acknowledge: () => void,
  ) => void;
  /**
   * Called when the host reports the end of a run that is not placed on it;
   * `acknowledge` must be called once the result is stored.
   */
  readonly onUnplacedEnd: (
    end: TaskEnd,
    source: IncarnationId,
    acknowledge: () => void,
  ) => void;
  /**
   * Called when a run was never started, or has certainly stopped without
   * reporting an end; `loss` is undefined if it has no placement.
   */
  readonly onLost: (
    task: TaskRecord,
    cause: string,
    loss: RunLoss | undefined,
  ) => void;
  /**
   * Called when the host has crashed, with the tasks that were placed on it,
   * before their runs are dropped.
   */
  readonly onCrash: (tasks: readonly TaskRecord[]) => void;
  /** Called when the host's room or the state of its runs has changed. */
  readonly onUpdate: () => void;
  /** Called when the host has accepted the fencing token of a later leader. */
  readonly onFenced: () => void;
}
