import {LogContext} from '../../telemetry';
import {RunLoss} from './run_loss';

/** An earlier run that may have started and whose end is not known. */
export interface EarlierRun {
  readonly run: number;
  /** Undefined if it was not placed when the term began. */
  readonly loss: RunLoss | undefined;
  /** Number of the run that follows it. */
  nextRun: number;
}

/** Cause of a start if an earlier term may have given up the run before. */
const EARLIER_TERM = 'not placed when the term began';

/** Returns why the run was given up; from a small fixed set. */
export function getLossCause({loss}: EarlierRun): string {
  return loss?.cause ?? EARLIER_TERM;
}

/** Returns the fields of a log line that describe the run. */
export function describeEarlierRun(earlier: EarlierRun): LogContext {
  const {run, loss} = earlier;
  const cause = getLossCause(earlier);
  if (!loss) return {cause, earlierRun: run};
  const {ends, latestEnds, namedEnd, orderedAt, answeredAt, lostAt} = loss;
  return {
    cause,
    earlierRun: run,
    earlierHost: loss.hostId,
    adopted: loss.isAdopted,
    listed: loss.isListed,
    earlierBornAt: loss.bornAt,
    acceptedEnd: ends.acceptedEnd,
    acknowledgedEnd: ends.acknowledgedEnd,
    latestBornAt: latestEnds.bornAt,
    latestAcceptedEnd: latestEnds.acceptedEnd,
    latestAcknowledgedEnd: latestEnds.acknowledgedEnd,
    namedEnd: namedEnd.number,
    namedMs: namedEnd.number ? Math.round(lostAt - namedEnd.at) : undefined,
    orderedMs: Math.round(lostAt - orderedAt),
    answeredMs: Math.round(lostAt - answeredAt),
    lostMs: Math.round(performance.now() - lostAt),
  };
}
