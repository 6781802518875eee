import {HoldReport} from '../../ports/hosts';
import {HostIncarnation} from './host_incarnation';

/** What shows that a host has restarted. */
export enum RestartEvidence {
  /** It gives another time of its start. */
  Birth = 'birth',
  /** Its clock has fallen back. */
  Clock = 'clock',
  /** It lists other ends under the same numbers. */
  Ends = 'ends',
}

/**
 * Returns what shows that a report is that of a later incarnation than the
 * known one; undefined if nothing does. The later one may give the same time of
 * its start, or none.
 *
 * @param incarnation the known incarnation
 * @param report the answer to a hold call
 * @param sentAt monotonic time of the call in ms
 */
export function findRestart(
  {bornAt: knownBirth, clock, runEnds, isOver}: HostIncarnation,
  {bornAt, clockMs, ended, seenEnd}: HoldReport,
  sentAt: number,
): RestartEvidence | undefined {
  const isTold = bornAt !== 0 && knownBirth !== 0;
  if (isTold && bornAt !== knownBirth) return RestartEvidence.Birth;
  if (isOver || !clock.canReport(clockMs, sentAt)) return RestartEvidence.Clock;
  const canList = ended.every(end => runEnds.canList(end, seenEnd));
  return canList ? undefined : RestartEvidence.Ends;
}
