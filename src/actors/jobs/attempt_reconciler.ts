import {hasLeaseExpired, isActive} from '../../decisions/jobs';
import {
  AttemptId,
  TaskOrder,
  TaskReport,
  TaskState,
  WorkerReport,
} from '../../ports';
import {MirrorEntry} from '../../state';
import {AttemptEnd, DecisionKind, Job, JobAttempt, JobState} from '../../types';
import {AttemptEndRecorder} from './attempt_end_recorder';
import {AttemptStarter} from './attempt_starter';
import {nameTask} from './attempt_timestamps';
import {HostPollState} from './host_poll_states';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Reconciles job records with the reports of workers. */
export interface AttemptReconciler {
  /**
   * Updates the records of a host's jobs from its report and cleans up orphaned
   * tasks.
   */
  reconcileReport(
    pollState: HostPollState,
    report: WorkerReport,
  ): Promise<void>;
  /**
   * Ends the attempts on an unresponsive worker whose leases have certainly
   * expired.
   */
  endExpiredAttempts(hostId: string): Promise<void>;
}

const ATTEMPT_ENDS: Readonly<Partial<Record<TaskState, AttemptEnd>>> = {
  [TaskState.Done]: AttemptEnd.Done,
  [TaskState.Failed]: AttemptEnd.Failed,
  [TaskState.Checkpointed]: AttemptEnd.Checkpointed,
  [TaskState.Stopped]: AttemptEnd.Stopped,
  [TaskState.LeaseExpired]: AttemptEnd.Lost,
};

const MAX_CONCURRENCY = 8;

/** Creates the reconciler of a pool's attempts. */
export function createAttemptReconciler(
  context: JobsContext,
  endRecorder: AttemptEndRecorder,
  starter: AttemptStarter,
): AttemptReconciler {
  const {mirror, workers, writer, timestamps, term, pool, telemetry} = context;
  const lockedJobs = new Set<string>();
  /**
   * Names of tasks without an active record that were reported once; a second
   * report cleans them up.
   */
  const orphanCandidates = new Set<string>();

  function findEntriesOn(hostId: string): readonly MirrorEntry<Job>[] {
    return [...mirror.entries.get().values()].filter(
      ({value}) =>
        isActive(value.state) && value.attempts.at(-1)?.hostId === hostId,
    );
  }

  async function reconcileReport(
    pollState: HostPollState,
    report: WorkerReport,
  ): Promise<void> {
    const tasks = new Map(report.tasks.map(task => [nameTask(task), task]));
    const entries = findEntriesOn(pollState.host.id);
    await runBounded(entries, MAX_CONCURRENCY, entry =>
      withJobLock(entry.value.id, () =>
        reconcileJob(entry, pollState, report, tasks),
      ),
    );
    const expected = new Set(
      entries.map(({value}) => nameTask(nameCurrentAttempt(value))),
    );
    const orphans = report.tasks.filter(task => !expected.has(nameTask(task)));
    await runBounded(orphans, MAX_CONCURRENCY, task =>
      cleanUpTask(pollState, task),
    );
  }

  async function endExpiredAttempts(hostId: string): Promise<void> {
    const entries = findEntriesOn(hostId);
    await runBounded(entries, MAX_CONCURRENCY, entry =>
      withJobLock(entry.value.id, () => endIfExpired(entry)),
    );
  }

  async function withJobLock(
    jobId: string,
    run: () => Promise<void>,
  ): Promise<void> {
    if (lockedJobs.has(jobId) || !context.isLeading()) return;
    lockedJobs.add(jobId);
    try {
      await run();
    } finally {
      lockedJobs.delete(jobId);
    }
  }

  async function reconcileJob(
    entry: MirrorEntry<Job>,
    pollState: HostPollState,
    report: WorkerReport,
    tasks: ReadonlyMap<string, TaskReport>,
  ): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    const task = tasks.get(nameTask(nameCurrentAttempt(job)));
    if (task) return reconcileTask(entry, pollState, task);
    if (hasRebooted(attempt, report)) {
      await endRecorder.record(entry, AttemptEnd.Lost);
      return;
    }
    const canSend = job.state === JobState.Starting && attempt.term === term;
    if (canSend && !isStartRetryOver(job))
      return starter.start(entry, pollState.host);
    return endUnknownAttempt(entry, attempt, pollState, report);
  }

  /** Whether the retry period of an unconfirmed start is over. */
  function isStartRetryOver(job: Job): boolean {
    const since =
      performance.now() - timestamps.getFirstSeenAt(nameCurrentAttempt(job));
    return since > START_RETRY_MS;
  }

  async function reconcileTask(
    entry: MirrorEntry<Job>,
    pollState: HostPollState,
    task: TaskReport,
  ): Promise<void> {
    const end = ATTEMPT_ENDS[task.state];
    if (end) {
      const recorded = await endRecorder.record(entry, end, task);
      if (recorded) await release(pollState, task);
      return;
    }
    if (entry.value.state !== JobState.Starting) return;
    await writer.save(entry, {
      state: JobState.Running,
      cause: `runs on ${pollState.host.id}`,
    });
  }

  /**
   * Ends an attempt unknown to its worker, after a stop order that prevents a
   * later start.
   */
  async function endUnknownAttempt(
    entry: MirrorEntry<Job>,
    attempt: JobAttempt,
    {host}: HostPollState,
    report: WorkerReport,
  ): Promise<void> {
    const job = entry.value;
    const stopped = await workers.orderTask(
      host,
      job.id,
      attempt.number,
      term,
      TaskOrder.Stop,
    );
    if (stopped.isErr) return;
    const {state} = stopped.value;
    if (state !== TaskState.NotStarted) {
      await endRecorder.record(
        entry,
        ATTEMPT_ENDS[state] ?? AttemptEnd.Lost,
        stopped.value,
      );
      return;
    }
    const sameBoot = attempt.bootNumber === report.bootNumber;
    const neverStarted = sameBoot && job.state === JobState.Starting;
    await endRecorder.record(
      entry,
      neverStarted ? AttemptEnd.NotStarted : AttemptEnd.Lost,
    );
  }

  async function endIfExpired(entry: MirrorEntry<Job>): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    const name = nameCurrentAttempt(job);
    const expired = hasLeaseExpired({
      now: performance.now(),
      firstSeenAt: timestamps.getFirstSeenAt(name),
      renewedAt: timestamps.getRenewedAt(name),
      inherited: attempt.term !== term,
    });
    if (expired) await endRecorder.record(entry, AttemptEnd.Lost);
  }

  /**
   * Stops a task whose attempt is no longer current and releases it at its
   * worker.
   *
   * A running task without any record is not stopped, since its lease is not
   * renewed and expires.
   */
  async function cleanUpTask(
    pollState: HostPollState,
    task: TaskReport,
  ): Promise<void> {
    const name = nameTask(task);
    const entry = mirror.entries.get().get(`jobs/${pool}/${task.jobId}`);
    const isCurrent =
      entry !== undefined &&
      isActive(entry.value.state) &&
      entry.value.attempts.at(-1)?.number === task.attempt;
    if (isCurrent) return;
    const cancelled = entry?.value.state === JobState.Cancelled;
    if (!cancelled && !orphanCandidates.has(name)) {
      orphanCandidates.add(name);
      return;
    }
    orphanCandidates.delete(name);
    if (!ATTEMPT_ENDS[task.state] && !entry) return;
    if (!ATTEMPT_ENDS[task.state]) {
      const order = TaskOrder.Stop;
      const {jobId, attempt} = task;
      const stopped = await workers.orderTask(
        pollState.host,
        jobId,
        attempt,
        term,
        order,
      );
      if (stopped.isErr) return;
      telemetry.recordDecision({
        kind: DecisionKind.Cancel,
        subject: jobId,
        pool,
        cause: `stopped attempt ${attempt} on ${pollState.host.id}, since its job record no longer requires it`,
        inputs: {term, attempt},
      });
    }
    if (context.reservations.get(task.jobId)?.attempt === task.attempt) {
      context.reservations.release(task.jobId);
    }
    await release(pollState, task);
  }

  async function release(
    {host}: HostPollState,
    task: TaskReport,
  ): Promise<void> {
    const {jobId, attempt} = task;
    await workers.orderTask(host, jobId, attempt, term, TaskOrder.Release);
  }

  return {reconcileReport, endExpiredAttempts};
}

/**
 * Time for which an unconfirmed start is retried before the attempt is ended,
 * in ms.
 */
const START_RETRY_MS = 10_000;

function nameCurrentAttempt(job: Job): AttemptId {
  return {jobId: job.id, attempt: job.attempts.at(-1)?.number ?? 0};
}

function hasRebooted(attempt: JobAttempt, report: WorkerReport): boolean {
  const {bootNumber} = attempt;
  return bootNumber !== undefined && report.bootNumber > bootNumber;
}
