import {MemberVerdict} from '../../types';

/** What is known of a member. */
export interface MemberSigns {
  /** True while its leased record stands in the store. */
  readonly leaseSeen: boolean;
  readonly leaving: boolean;
  /** Time since the last heartbeat either way, in ms; undefined if none came. */
  readonly heardAgoMs: number | undefined;
  /** Longest time between two heartbeats of a healthy member, in ms. */
  readonly heartbeatMs: number;
}

/** A verdict with the reason for it. */
export interface Judgement {
  readonly verdict: MemberVerdict;
  readonly cause: string;
}

/** Heartbeats that may be missing before a member is suspect. */
const MISSED_HEARTBEATS = 3;

/** Judges a member from its lease and its heartbeats. */
export function judgeMember(signs: MemberSigns): Judgement {
  const {leaseSeen, leaving, heardAgoMs, heartbeatMs} = signs;
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
  const limitMs = MISSED_HEARTBEATS * heartbeatMs;
  if (heardAgoMs === undefined || heardAgoMs > limitMs) {
    return {
      verdict: MemberVerdict.Suspect,
      cause: `its lease holds, but ${heard}`,
    };
  }
  return {verdict: MemberVerdict.Live, cause: `its lease holds; ${heard}`};
}
