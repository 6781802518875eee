/** How a run ended, as reported by its host. */
export enum TaskEndKind {
  Done = 'done',
  /** Failed because of the task or its host. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease of the host's runs expired. */
  LeaseExpired = 'lapsed',
  /** Another run of its gang ended. */
  GangEnded = 'broken',
  /** The other runs of its gang did not start. */
  GangIncomplete = 'alone',
}

/** The end of one run. */
export interface TaskEnd {
  /** Sequence number among the ends that a host incarnation reports, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly kind: TaskEndKind;
  /** Last checkpoint; empty if there is none. */
  readonly checkpoint: string;
}
