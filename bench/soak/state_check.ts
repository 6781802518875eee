import {BOUNDS} from './bounds';
import {CallRecord} from './caller';
import {Plants} from './plant';
import {RunHistory} from './run_history';
import {FINAL_STATES, Submission} from './submission';
import {Check, Verdict} from './verdict';

/** Dependencies of a check of shown states. */
export interface StateCheckOptions {
  readonly history: RunHistory;
  readonly verdict: Verdict;
  readonly plants: Plants;
}

/**
 * Creates a check of a state that a caller asked for, against what hosts saw and
 * what was shown before.
 */
export function createStateCheck({
  history,
  verdict,
  plants,
}: StateCheckOptions): (submission: Submission, record: CallRecord) => void {
  return (submission, record) => {
    const {id, acceptedAt = Infinity, cancelSentAt} = submission;
    history.follow();
    const isVisible = record.sentAt > acceptedAt + BOUNDS.visibleMs;
    const isOwed = isVisible && cancelSentAt === undefined;
    const isLost = record.status === 410 || record.status === 404;
    if (isLost || (isOwed && plants.take(Check.Kept))) {
      if (!isOwed) return;
      const detail = `${record.status} at entry ${record.entry + 1}`;
      return verdict.report(Check.Kept, id, detail);
    }
    if (record.status !== 200) return;
    const state =
      !history.isDone(submission) && plants.take(Check.States)
        ? 'completed'
        : String(record.body.state);
    if (state === 'completed' && !history.isDone(submission)) {
      verdict.report(Check.States, id, 'completed before its last task');
    }
    if (state === 'failed' && !history.hasFailed(submission)) {
      verdict.report(Check.States, id, 'failed without enough failed runs');
    }
    if (state === 'cancelled' && cancelSentAt === undefined) {
      verdict.report(Check.States, id, 'cancelled by nobody');
    }
    const {finalState} = submission;
    if (finalState !== undefined && !canFollow(submission, record, state)) {
      verdict.report(Check.States, id, `${finalState}, then ${state}`);
    }
    if (FINAL_STATES.includes(state)) submission.finalState ??= state;
  };
}

/** Returns whether a state may be shown after a final one. */
function canFollow(
  {finalState, cancelledAt = Infinity}: Submission,
  {sentAt, calm}: CallRecord,
  state: string,
): boolean {
  if (finalState !== 'cancelled') return finalState === state;
  // A cancellation may come too late for a workflow that has ended, and has
  // some time until it takes effect everywhere.
  const isInForce = calm && sentAt > cancelledAt + BOUNDS.cancelMs;
  return FINAL_STATES.includes(state) || !isInForce;
}
