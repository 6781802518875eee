import {hasLapsed, isActive} from '../../decisions/jobs';
import {
  TaskName,
  TaskOrder,
  TaskReport,
  TaskState,
  WorkerReport,
} from '../../ports';
import {MirrorEntry} from '../../state';
import {AttemptEnd, DecisionKind, Job, JobAttempt, JobState} from '../../types';
import {AttemptEnds} from './attempt_ends';
import {AttemptStarter} from './attempt_starter';
import {nameTask} from './attempt_times';
import {HostWatch} from './host_watches';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Reconciles job records with the reports of workers. */
export interface AttemptFollower {
  /** Updates the records of a host's jobs from its report and cleans up orphaned tasks. */
  followReport(watch: HostWatch, report: WorkerReport): Promise<void>;
  /** Ends the attempts on an unresponsive worker whose leases have certainly lapsed. */
  followSilence(hostId: string): Promise<void>;
}

const ENDS: Readonly<Partial<Record<TaskState, AttemptEnd>>> = {
  [TaskState.Done]: AttemptEnd.Done,
  [TaskState.Failed]: AttemptEnd.Failed,
  [TaskState.Checkpointed]: AttemptEnd.Checkpointed,
  [TaskState.Stopped]: AttemptEnd.Stopped,
  [TaskState.Lapsed]: AttemptEnd.Lost,
};

const AT_ONCE = 8;

/** Creates the reconciler of a pool's attempts. */
export function createAttemptFollower(
  context: JobsContext,
  ends: AttemptEnds,
  starter: AttemptStarter,
): AttemptFollower {
  const {mirror, workers, writer, times, term, pool, telemetry} = context;
  const busy = new Set<string>();
  /** Names of tasks without an active record that were reported once; a second report cleans them up. */
  const unwanted = new Set<string>();

  function entriesOn(hostId: string): readonly MirrorEntry<Job>[] {
    return [...mirror.entries.get().values()].filter(
      ({value}) =>
        isActive(value.state) && value.attempts.at(-1)?.hostId === hostId,
    );
  }

  async function followReport(
    watch: HostWatch,
    report: WorkerReport,
  ): Promise<void> {
    const tasks = new Map(report.tasks.map(task => [nameTask(task), task]));
    const entries = entriesOn(watch.host.id);
    await runBounded(entries, AT_ONCE, entry =>
      exclusively(entry.value.id, () => followJob(entry, watch, report, tasks)),
    );
    const wanted = new Set(
      entries.map(({value}) => nameTask(nameCurrent(value))),
    );
    const orphans = report.tasks.filter(task => !wanted.has(nameTask(task)));
    await runBounded(orphans, AT_ONCE, task => clearTask(watch, task));
  }

  async function followSilence(hostId: string): Promise<void> {
    const entries = entriesOn(hostId);
    await runBounded(entries, AT_ONCE, entry =>
      exclusively(entry.value.id, () => giveUpIfLapsed(entry)),
    );
  }

  async function exclusively(
    jobId: string,
    run: () => Promise<void>,
  ): Promise<void> {
    if (busy.has(jobId) || !context.isLeading()) return;
    busy.add(jobId);
    try {
      await run();
    } finally {
      busy.delete(jobId);
    }
  }

  async function followJob(
    entry: MirrorEntry<Job>,
    watch: HostWatch,
    report: WorkerReport,
    tasks: ReadonlyMap<string, TaskReport>,
  ): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    const task = tasks.get(nameTask(nameCurrent(job)));
    if (task) return followTask(entry, watch, task);
    if (hasRebooted(attempt, report)) {
      await ends.record(entry, AttemptEnd.Lost);
      return;
    }
    const mayResend = job.state === JobState.Starting && attempt.term === term;
    if (mayResend && !isExpired(job)) return starter.start(entry, watch.host);
    return forbid(entry, attempt, watch, report);
  }

  /** Whether the retry period of an unconfirmed start is over. */
  function isExpired(job: Job): boolean {
    const since = performance.now() - times.firstSeen(nameCurrent(job));
    return since > RESEND_MS;
  }

  async function followTask(
    entry: MirrorEntry<Job>,
    watch: HostWatch,
    task: TaskReport,
  ): Promise<void> {
    const end = ENDS[task.state];
    if (end) {
      const recorded = await ends.record(entry, end, task);
      if (recorded) await release(watch, task);
      return;
    }
    if (entry.value.state !== JobState.Starting) return;
    await writer.save(entry, {
      state: JobState.Running,
      cause: `runs on ${watch.host.id}`,
    });
  }

  /** Ends an attempt unknown to its worker, after a stop order that prevents a later start. */
  async function forbid(
    entry: MirrorEntry<Job>,
    attempt: JobAttempt,
    {host}: HostWatch,
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
      await ends.record(entry, ENDS[state] ?? AttemptEnd.Lost, stopped.value);
      return;
    }
    const sameBoot = attempt.bootNumber === report.bootNumber;
    const never = sameBoot && job.state === JobState.Starting;
    await ends.record(entry, never ? AttemptEnd.NotStarted : AttemptEnd.Lost);
  }

  async function giveUpIfLapsed(entry: MirrorEntry<Job>): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    const name = nameCurrent(job);
    const lapsed = hasLapsed({
      now: performance.now(),
      firstSeenAt: times.firstSeen(name),
      renewedAt: times.renewed(name),
      inherited: attempt.term !== term,
    });
    if (lapsed) await ends.record(entry, AttemptEnd.Lost);
  }

  /**
   * Stops a task whose attempt is no longer current and releases it if it has ended.
   *
   * A running task without any record is not stopped, since its lease is not
   * renewed and lapses.
   */
  async function clearTask(watch: HostWatch, task: TaskReport): Promise<void> {
    const name = nameTask(task);
    const entry = mirror.entries.get().get(`jobs/${pool}/${task.jobId}`);
    const isCurrent =
      entry !== undefined &&
      isActive(entry.value.state) &&
      entry.value.attempts.at(-1)?.number === task.attempt;
    if (isCurrent) return;
    const cancelled = entry?.value.state === JobState.Cancelled;
    if (!cancelled && !unwanted.has(name)) {
      unwanted.add(name);
      return;
    }
    unwanted.delete(name);
    if (!ENDS[task.state] && !entry) return;
    if (!ENDS[task.state]) {
      const order = TaskOrder.Stop;
      const {jobId, attempt} = task;
      const stopped = await workers.orderTask(
        watch.host,
        jobId,
        attempt,
        term,
        order,
      );
      if (stopped.isErr) return;
      telemetry.decide({
        kind: DecisionKind.Cancel,
        subject: jobId,
        pool,
        cause: `stopped attempt ${attempt} on ${watch.host.id}, since its job record no longer requires it`,
        inputs: {term, attempt},
      });
    }
    if (context.heldSlots.get(task.jobId)?.attempt === task.attempt) {
      context.heldSlots.release(task.jobId);
    }
    await release(watch, task);
  }

  async function release({host}: HostWatch, task: TaskReport): Promise<void> {
    const {jobId, attempt} = task;
    await workers.orderTask(host, jobId, attempt, term, TaskOrder.Release);
  }

  return {followReport, followSilence};
}

/** Time for which an unconfirmed start is retried before the attempt is ended, in ms. */
const RESEND_MS = 10_000;

function nameCurrent(job: Job): TaskName {
  return {jobId: job.id, attempt: job.attempts.at(-1)?.number ?? 0};
}

function hasRebooted(attempt: JobAttempt, report: WorkerReport): boolean {
  const {bootNumber} = attempt;
  return bootNumber !== undefined && report.bootNumber > bootNumber;
}
