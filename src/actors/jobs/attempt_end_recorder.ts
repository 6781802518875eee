import {decideAfterAttempt} from '../../decisions/jobs';
import {TaskReport} from '../../ports';
import {MirrorEntry} from '../../state';
import {
  AttemptEnd,
  DecisionKind,
  Job,
  JobState,
  RetryReason,
} from '../../types';
import {JobsContext} from './jobs_context';

/** Records how attempts ended. */
export interface AttemptEndRecorder {
  /**
   * Records the end of a job's current attempt, which must be certain.
   *
   * @param entry the job's record
   * @param end how the attempt ended
   * @param report the worker's last report on the task, if there is one
   * @returns whether the record was stored
   */
  record(
    entry: MirrorEntry<Job>,
    end: AttemptEnd,
    report?: TaskReport,
  ): Promise<boolean>;
}

const RETRY_REASONS: Readonly<Partial<Record<AttemptEnd, RetryReason>>> = {
  [AttemptEnd.Failed]: RetryReason.TaskFailed,
  [AttemptEnd.Lost]: RetryReason.TaskLost,
  [AttemptEnd.NotStarted]: RetryReason.TaskNotStarted,
  [AttemptEnd.Stopped]: RetryReason.TaskStopped,
};

const DECISION_KINDS: Readonly<Partial<Record<JobState, DecisionKind>>> = {
  [JobState.Waiting]: DecisionKind.Retry,
  [JobState.Checkpointed]: DecisionKind.Preempt,
  [JobState.Held]: DecisionKind.Hold,
  [JobState.Done]: DecisionKind.Finish,
  [JobState.Failed]: DecisionKind.Finish,
};

/**
 * Creates the recorder; it also frees the attempt's resources and updates the
 * estimates.
 */
export function createAttemptEndRecorder(
  context: JobsContext,
): AttemptEndRecorder {
  const {writer, reservations, timestamps, telemetry, pool, estimates} =
    context;

  async function record(
    entry: MirrorEntry<Job>,
    end: AttemptEnd,
    report?: TaskReport,
  ): Promise<boolean> {
    const job = entry.value;
    const after = decideAfterAttempt(job, end, context.getSuspects());
    const final =
      after.state === JobState.Done || after.state === JobState.Failed;
    const saved = await writer.save(entry, {
      state: after.state,
      cause: after.cause,
      attempts: endLastAttempt(job, end),
      checkpoint: report?.checkpoint ?? job.checkpoint,
      result: report?.result ?? job.result,
      usage: report?.usage ?? job.usage,
      finishedAt: final ? Date.now() : undefined,
    });
    if (!saved) return false;
    reportDecision(saved.value, end);
    const attempt = job.attempts.at(-1)?.number ?? 0;
    reservations.release(job.id);
    timestamps.remove({jobId: job.id, attempt});
    if (end === AttemptEnd.Done) estimates.record(saved.value);
    context.requestRound();
    return true;
  }

  function reportDecision(job: Job, end: AttemptEnd): void {
    const reason = RETRY_REASONS[end];
    if (reason && job.state === JobState.Waiting) {
      telemetry.countRetry(job.service, reason);
    }
    telemetry.recordDecision({
      kind: DECISION_KINDS[job.state] ?? DecisionKind.Finish,
      subject: job.id,
      pool,
      cause: job.cause,
      inputs: {
        state: job.state,
        end,
        attempt: job.attempts.at(-1)?.number ?? 0,
        term: context.term,
      },
    });
  }

  return {record};
}

function endLastAttempt(job: Job, end: AttemptEnd): Job['attempts'] {
  const last = job.attempts.at(-1);
  if (!last) return [];
  return [...job.attempts.slice(0, -1), {...last, end, endedAt: Date.now()}];
}
