import {HostIncarnation} from './host_incarnation';

/** What a host incarnation has reported of ended runs. */
export interface IncarnationEnds {
  /** Unix time in ms at which it started; 0 if unknown. */
  readonly bornAt: number;
  /** Highest number of an accepted end; 0 before the first. */
  readonly acceptedEnd: number;
  /** Highest number whose acknowledgement it has received; 0 before. */
  readonly acknowledgedEnd: number;
}

/** Returns what an incarnation has reported up to now. */
export function readIncarnationEnds({
  bornAt,
  runEnds,
}: HostIncarnation): IncarnationEnds {
  return {
    bornAt,
    acceptedEnd: runEnds.getHighestAccepted(),
    acknowledgedEnd: runEnds.getAcknowledged(),
  };
}
