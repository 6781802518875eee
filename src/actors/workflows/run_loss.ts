import {Placement} from '../../decisions/workflows';
import {HostIncarnation} from './host_incarnation';
import {IncarnationEnds, readIncarnationEnds} from './incarnation_ends';
import {NamedEnd, NamedEnds} from './named_ends';

/** A run that was given up without a reported end, as known at that moment. */
export interface RunLoss {
  readonly cause: string;
  readonly run: number;
  readonly hostId: string;
  /** Whether the run may have started: it was ordered and not refused. */
  readonly mayHaveRun: boolean;
  /** Whether an earlier leader has placed the run. */
  readonly isAdopted: boolean;
  /** Whether the host has listed the run in this term. */
  readonly isListed: boolean;
  /** Unix time in ms at which the host had started, as it was registered. */
  readonly bornAt: number;
  /** Ends of the incarnation that was known when the run was placed. */
  readonly ends: IncarnationEnds;
  /** The same of the one that was known when the run was given up. */
  readonly latestEnds: IncarnationEnds;
  /** The highest acknowledgement that was sent to the host since the order. */
  readonly namedEnd: NamedEnd;
  /** Monotonic time in ms of the start order. */
  readonly orderedAt: number;
  /** Monotonic time in ms of the host's last answer. */
  readonly answeredAt: number;
  /** Monotonic time in ms at which the run was given up. */
  readonly lostAt: number;
}

/** What the session tells of a run that it gives up. */
export interface RunLossContext {
  readonly cause: string;
  readonly hostId: string;
  /** Whether the host has refused to start the run. */
  readonly isRefused: boolean;
  /** Incarnation that was known when the run was placed. */
  readonly placedOn: HostIncarnation;
  /** Incarnation that is known now. */
  readonly latest: HostIncarnation;
  readonly namedEnds: NamedEnds;
  readonly answeredAt: number;
}

/**
 * Creates the description of a run that is given up now.
 *
 * @param placement placement of the run
 * @param context what the session tells of it
 */
export function createRunLoss(
  placement: Placement,
  {
    cause,
    hostId,
    isRefused,
    placedOn,
    latest,
    namedEnds,
    answeredAt,
  }: RunLossContext,
): RunLoss {
  const {run, isOrdered, isAdopted, listed, bornAt, orderedAt} = placement;
  return {
    cause,
    run,
    hostId,
    mayHaveRun: isOrdered && !isRefused,
    isAdopted,
    isListed: listed,
    bornAt,
    ends: readIncarnationEnds(placedOn),
    latestEnds: readIncarnationEnds(latest),
    namedEnd: namedEnds.getHighestSince(orderedAt),
    orderedAt,
    answeredAt,
    lostAt: performance.now(),
  };
}
