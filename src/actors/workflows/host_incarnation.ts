import {RunEndTracker, createRunEndTracker} from './run_end_tracker';

/**
 * What the leader knows of one incarnation of a host. It is replaced as a whole
 * when the host restarts, so that what still arrives for the earlier
 * incarnation has no effect on the new one.
 */
export interface HostIncarnation {
  /** Unix time in ms at which it started; 0 until it is known. */
  bornAt: number;
  readonly runEnds: RunEndTracker;
}

/** Creates the state of an incarnation that has not reported yet. */
export function createHostIncarnation(bornAt: number): HostIncarnation {
  return {bornAt, runEnds: createRunEndTracker()};
}
