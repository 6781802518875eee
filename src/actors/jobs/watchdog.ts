import {findSuspects, isActive, isFinal, isWaiting} from '../../decisions/jobs';
import {TaskOrder, TaskState} from '../../ports';
import {runInBackground} from '../../state';
import {DecisionKind, Job, JobState} from '../../types';
import {HostPoller} from './host_poller';
import {JobsContext} from './jobs_context';

/** Detects overdue jobs, stalled tasks and faulty workers. */
export interface Watchdog {
  review(): void;
  /** Returns the ids of hosts that fail jobs which other hosts complete. */
  getSuspects(): ReadonlySet<string>;
}

/**
 * Time without progress after which a task is reported as stalled, and stopped
 * if it is idempotent, in ms.
 */
export const STALL_TIMEOUT_MS = 60_000;

interface ProgressRecord {
  readonly attempt: number;
  readonly progress: number;
  /** Monotonic time at which this progress was first seen, in ms. */
  readonly since: number;
  reported: boolean;
}

/** Creates the watchdog of a pool. */
export function createWatchdog(
  context: JobsContext,
  poller: HostPoller,
): Watchdog {
  const {mirror, telemetry, pollStates, workers, pool, term} = context;
  const overdue = new Set<string>();
  const progressByJob = new Map<string, ProgressRecord>();
  let suspects: ReadonlySet<string> = new Set();

  function review(): void {
    const jobs = [...mirror.entries.get().values()].map(({value}) => value);
    reviewSuspects(jobs);
    for (const job of jobs) reviewDueTime(job);
    for (const pollState of pollStates.all()) {
      for (const task of pollState.report?.tasks ?? []) {
        if (task.state !== TaskState.Running) continue;
        const {jobId, attempt, progress} = task;
        if (hasStalled(jobId, attempt, progress)) handleStall(jobId, attempt);
      }
    }
    for (const id of progressByJob.keys()) {
      const job = mirror.entries.get().get(`jobs/${pool}/${id}`)?.value;
      if (!job || !isActive(job.state)) progressByJob.delete(id);
    }
    setGauges(jobs);
  }

  function reviewSuspects(jobs: readonly Job[]): void {
    const found = findSuspects({
      jobs,
      now: Date.now(),
      boots: pollStates.getBootNumbers(),
    });
    for (const {hostId, cause} of found) {
      if (suspects.has(hostId)) continue;
      telemetry.recordDecision({
        kind: DecisionKind.Eject,
        subject: hostId,
        pool,
        cause: `${cause}; no further jobs are placed on it`,
        inputs: {term},
      });
      context.onSuspect?.(hostId, cause);
    }
    suspects = new Set(found.map(({hostId}) => hostId));
  }

  function reviewDueTime(job: Job): void {
    const late = !isFinal(job.state) && Date.now() > job.dueAt;
    if (!late) {
      overdue.delete(job.id);
      return;
    }
    if (overdue.has(job.id)) return;
    overdue.add(job.id);
    telemetry.recordDecision({
      kind: DecisionKind.Overdue,
      subject: job.id,
      pool,
      cause: `${job.id} is overdue and ${job.state}: ${job.cause}`,
      inputs: {term, state: job.state, attempts: job.attempts.length},
    });
  }

  function hasStalled(
    jobId: string,
    attempt: number,
    progress: number,
  ): boolean {
    const now = performance.now();
    const known = progressByJob.get(jobId);
    if (known?.attempt !== attempt || known.progress !== progress) {
      progressByJob.set(jobId, {
        attempt,
        progress,
        since: now,
        reported: false,
      });
      return false;
    }
    if (known.reported || now - known.since < STALL_TIMEOUT_MS) return false;
    known.reported = true;
    return true;
  }

  function handleStall(jobId: string, attempt: number): void {
    const job = mirror.entries.get().get(`jobs/${pool}/${jobId}`)?.value;
    if (!job || !isActive(job.state)) return;
    const hostId = job.attempts.at(-1)?.hostId ?? '';
    telemetry.recordDecision({
      kind: DecisionKind.Stall,
      subject: jobId,
      pool,
      cause: job.idempotent
        ? `${jobId} makes no progress on ${hostId}; it is stopped and restarted`
        : `${jobId} makes no progress on ${hostId}; it may run only once, so an operator has to decide`,
      inputs: {term, attempt},
    });
    const host = pollStates.get(hostId)?.host;
    if (!job.idempotent || !host) return;
    runInBackground(
      () =>
        workers
          .orderTask(host, jobId, attempt, term, TaskOrder.Stop)
          .then(() => poller.requestPoll(hostId)),
      error => telemetry.errors.report('jobs-watchdog', error),
    );
  }

  function setGauges(jobs: readonly Job[]): void {
    const count = (holds: (job: Job) => boolean) => jobs.filter(holds).length;
    telemetry.setGauge(
      'jobs_waiting',
      'Long jobs that wait for a worker.',
      pool,
      count(job => isWaiting(job.state)),
    );
    telemetry.setGauge(
      'jobs_active',
      'Long jobs that start or run.',
      pool,
      count(job => isActive(job.state)),
    );
    telemetry.setGauge(
      'jobs_held',
      'Long jobs that wait for an operator.',
      pool,
      count(job => job.state === JobState.Held),
    );
    telemetry.setGauge(
      'jobs_overdue',
      'Long jobs that are past their due time and not finished.',
      pool,
      overdue.size,
    );
  }

  return {review, getSuspects: () => suspects};
}
