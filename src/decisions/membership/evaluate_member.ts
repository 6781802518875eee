import {MemberVerdict} from '../../types';

/** Observations of a member, as inputs of its evaluation. */
export interface MemberObservation {
  /** Whether its leased record exists in the store. */
  readonly leaseSeen: boolean;
  readonly leaving: boolean;
  /**
   * Time since the last heartbeat in either direction, in ms; undefined if
   * there was none.
   */
  readonly heardAgoMs: number | undefined;
  /** Maximum time between two heartbeats of a healthy member, in ms. */
  readonly heartbeatMs: number;
}

/** A verdict with the reason for it. */
export interface MemberEvaluation {
  readonly verdict: MemberVerdict;
  readonly cause: string;
}

/** Number of missed heartbeats after which a member is suspect. */
const MAX_MISSED_HEARTBEATS = 3;

/** Determines the state of a member from its lease and its heartbeats. */
export function evaluateMember(
  observation: MemberObservation,
): MemberEvaluation {
  const {leaseSeen, leaving, heardAgoMs, heartbeatMs} = observation;
  const heard =
    heardAgoMs === undefined
      ? 'no heartbeat came yet'
      : `the last heartbeat came ${Math.round(heardAgoMs)} ms ago`;
  if (!leaseSeen) {
    return {
      verdict: MemberVerdict.Gone,
      cause: `its lease has ended; ${heard}`,
    };
  }
  if (leaving) {
    return {
      verdict: MemberVerdict.Leaving,
      cause: `it has announced a planned stop; ${heard}`,
    };
  }
  const limitMs = MAX_MISSED_HEARTBEATS * heartbeatMs;
  if (heardAgoMs === undefined || heardAgoMs > limitMs) {
    return {
      verdict: MemberVerdict.Suspect,
      cause: `its lease holds, but ${heard}`,
    };
  }
  return {verdict: MemberVerdict.Live, cause: `its lease holds; ${heard}`};
}
