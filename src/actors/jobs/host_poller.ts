import {TASK_LEASE_MS, isActive} from '../../decisions/jobs';
import {TaskName, TaskState, WorkerFailure, WorkerReport} from '../../ports';
import {AttemptFollower} from './attempt_follower';
import {HostWatch} from './host_watches';
import {JobsContext} from './jobs_context';

/** Polls workers for reports and renews task leases with the same calls. */
export interface HostPoller {
  /** Starts all polls that are due without waiting for them. */
  pollDue(): void;
  /** Makes a poll of the worker due in the next round. */
  hurry(hostId: string): void;
}

const MAX_POLL_MS = 3_000;
const MIN_POLL_MS = 50;
const SILENT_POLL_MS = 1_000;
/** Minimum poll interval of a task whose end can't be extrapolated from its progress yet. */
const EARLY_POLL_MS = 400;
/** Poll interval of such a task, as a share of its estimated run time. */
const EARLY_SHARE = 0.1;
/** Minimum progress from which the end of a task is extrapolated. */
const FORESEEABLE_PROGRESS = 0.05;
const RENEW_MS = TASK_LEASE_MS / 4;

/** Creates the poller of the workers of a pool. */
export function createHostPoller(
  context: JobsContext,
  follower: AttemptFollower,
): HostPoller {
  const {workers, watches, mirror, times, pool, term} = context;

  function pollDue(): void {
    for (const {host} of context.getHosts()) watches.see(host);
    const now = performance.now();
    for (const watch of watches.all()) {
      if (watch.polling || watch.nextPollAt > now) continue;
      if (forgetGone(watch)) continue;
      void poll(watch);
    }
  }

  /** Stops polling a worker that has left the pool and has no active attempts; returns whether it did. */
  function forgetGone({host}: HostWatch): boolean {
    if (context.getHosts().some(known => known.host.id === host.id)) {
      return false;
    }
    if (attemptsOn(host.id).length > 0) return false;
    watches.forget(host.id);
    return true;
  }

  async function poll(watch: HostWatch): Promise<void> {
    watch.polling = true;
    try {
      if (watch.answering) await pollRenewing(watch);
      else await probe(watch);
    } finally {
      watch.polling = false;
    }
  }

  async function pollRenewing(watch: HostWatch): Promise<void> {
    const sentAt = performance.now();
    const renew =
      sentAt - watch.renewedAt >= RENEW_MS ? attemptsOn(watch.host.id) : [];
    const before = renew.map(name => times.renewed(name));
    for (const name of renew) times.setRenewed(name, sentAt);
    const answer = await workers.report(watch.host, {pool, term, renew});
    if (!context.isLeading()) return;
    if (answer.isOk) {
      if (renew.length > 0) watch.renewedAt = sentAt;
      watch.report = answer.value;
      schedule(watch, chooseInterval(answer.value));
      return follower.followReport(watch, answer.value);
    }
    if (answer.error === WorkerFailure.Fenced) return context.supersede();
    watch.nextPollAt = performance.now() + SILENT_POLL_MS;
    if (answer.error === WorkerFailure.ConnectFailed) {
      renew.forEach((name, i) => times.setRenewed(name, before[i]));
    } else {
      watch.answering = false;
    }
    return follower.followSilence(watch.host.id);
  }

  /** Schedules the next poll; one due before the longest interval gets a timer of its own. */
  function schedule(watch: HostWatch, ms: number): void {
    watch.nextPollAt = performance.now() + ms;
    if (ms >= MAX_POLL_MS) return;
    setTimeout(() => {
      const due = watch.nextPollAt <= performance.now();
      if (due && !watch.polling && context.isLeading()) void poll(watch);
    }, Math.ceil(ms)).unref?.();
  }

  /** Polls without renewing, so that the leases of an unresponsive worker lapse. */
  async function probe(watch: HostWatch): Promise<void> {
    const answer = await workers.report(watch.host);
    if (!context.isLeading()) return;
    if (answer.isOk) {
      watch.answering = true;
      watch.renewedAt = 0;
      watch.nextPollAt = 0;
      return;
    }
    watch.nextPollAt = performance.now() + SILENT_POLL_MS;
    return follower.followSilence(watch.host.id);
  }

  /** Returns the active attempts on a worker whose records carry this leader's term. */
  function attemptsOn(hostId: string): readonly TaskName[] {
    const names: TaskName[] = [];
    for (const {value} of mirror.entries.get().values()) {
      const attempt = value.attempts.at(-1);
      if (!isActive(value.state) || attempt?.hostId !== hostId) continue;
      if (value.term !== term) continue;
      names.push({jobId: value.id, attempt: attempt.number});
    }
    return names;
  }

  function chooseInterval(report: WorkerReport): number {
    let interval = MAX_POLL_MS;
    for (const task of report.tasks) {
      if (task.state !== TaskState.Running) continue;
      interval = Math.min(interval, timeToEnd(task.jobId, task.progress));
    }
    return Math.max(MIN_POLL_MS, interval);
  }

  function timeToEnd(jobId: string, progress: number): number {
    const job = mirror.entries.get().get(`jobs/${pool}/${jobId}`)?.value;
    const attempt = job?.attempts.at(-1);
    if (!job || !attempt) return EARLY_POLL_MS;
    if (progress < FORESEEABLE_PROGRESS || job.checkpoint !== undefined) {
      const {runTimeMs} = context.estimates.estimate(job);
      return Math.max(EARLY_POLL_MS, runTimeMs * EARLY_SHARE);
    }
    const ran = Date.now() - attempt.startedAt;
    return (ran * (1 - progress)) / progress;
  }

  return {
    pollDue,
    hurry(hostId) {
      const watch = watches.get(hostId);
      if (watch) watch.nextPollAt = 0;
    },
  };
}
