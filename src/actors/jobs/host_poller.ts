import {TASK_LEASE_MS, isActive} from '../../decisions/jobs';
import {AttemptId, TaskState, WorkerFailure, WorkerReport} from '../../ports';
import {runInBackground} from '../../state';
import {AttemptReconciler} from './attempt_reconciler';
import {HostPollState} from './host_poll_states';
import {JobsContext} from './jobs_context';

/** Polls workers for reports and renews task leases with the same calls. */
export interface HostPoller {
  /** Starts all polls that are due without waiting for them. */
  pollDue(): void;
  /** Makes a poll of the worker due in the next round. */
  requestPoll(hostId: string): void;
}

const MAX_POLL_INTERVAL_MS = 3_000;
const MIN_POLL_INTERVAL_MS = 50;
const UNRESPONSIVE_POLL_INTERVAL_MS = 1_000;
/**
 * Minimum poll interval of a task whose end can't be extrapolated from its
 * progress yet.
 */
const MIN_EARLY_POLL_INTERVAL_MS = 400;
/** Poll interval of such a task, as a share of its estimated run time. */
const EARLY_POLL_SHARE = 0.1;
/** Minimum progress from which the end of a task is extrapolated. */
const MIN_EXTRAPOLATION_PROGRESS = 0.05;
const RENEWAL_INTERVAL_MS = TASK_LEASE_MS / 4;

/** Creates the poller of the workers of a pool. */
export function createHostPoller(
  context: JobsContext,
  reconciler: AttemptReconciler,
): HostPoller {
  const {workers, pollStates, mirror, timestamps, pool, term} = context;

  function pollDue(): void {
    for (const {host} of context.getHosts()) pollStates.upsert(host);
    const now = performance.now();
    for (const pollState of pollStates.all()) {
      if (pollState.polling || pollState.nextPollAt > now) continue;
      if (removeDeparted(pollState)) continue;
      startPoll(pollState);
    }
  }

  /**
   * Stops polling a worker that has left the pool and has no active attempts;
   * returns whether it did.
   */
  function removeDeparted({host}: HostPollState): boolean {
    if (context.getHosts().some(known => known.host.id === host.id)) {
      return false;
    }
    if (findAttemptsOn(host.id).length > 0) return false;
    pollStates.remove(host.id);
    return true;
  }

  function startPoll(pollState: HostPollState): void {
    runInBackground(
      () => poll(pollState),
      error => context.telemetry.errors.report('host-poll', error),
    );
  }

  async function poll(pollState: HostPollState): Promise<void> {
    pollState.polling = true;
    try {
      if (pollState.responsive) await pollAndRenew(pollState);
      else await probe(pollState);
    } finally {
      pollState.polling = false;
    }
  }

  async function pollAndRenew(pollState: HostPollState): Promise<void> {
    const sentAt = performance.now();
    const renew =
      sentAt - pollState.renewedAt >= RENEWAL_INTERVAL_MS
        ? findAttemptsOn(pollState.host.id)
        : [];
    const before = renew.map(name => timestamps.getRenewedAt(name));
    for (const name of renew) timestamps.setRenewedAt(name, sentAt);
    const answer = await workers.report(pollState.host, {pool, term, renew});
    if (!context.isLeading()) return;
    if (answer.isOk) {
      if (renew.length > 0) pollState.renewedAt = sentAt;
      pollState.report = answer.value;
      schedule(pollState, choosePollInterval(answer.value));
      return reconciler.reconcileReport(pollState, answer.value);
    }
    if (answer.error === WorkerFailure.Fenced) return context.supersede();
    pollState.nextPollAt = performance.now() + UNRESPONSIVE_POLL_INTERVAL_MS;
    if (answer.error === WorkerFailure.ConnectFailed) {
      renew.forEach((name, i) => timestamps.setRenewedAt(name, before[i]));
    } else {
      pollState.responsive = false;
    }
    return reconciler.endExpiredAttempts(pollState.host.id);
  }

  /**
   * Schedules the next poll; one due before the maximum interval gets a timer
   * of its own.
   */
  function schedule(state: HostPollState, delayMs: number): void {
    state.nextPollAt = performance.now() + delayMs;
    if (delayMs >= MAX_POLL_INTERVAL_MS) return;
    setTimeout(() => {
      const due = state.nextPollAt <= performance.now();
      if (due && !state.polling && context.isLeading()) startPoll(state);
    }, Math.ceil(delayMs)).unref?.();
  }

  /**
   * Polls without renewing, so that the leases of an unresponsive worker
   * expire.
   */
  async function probe(pollState: HostPollState): Promise<void> {
    const answer = await workers.report(pollState.host);
    if (!context.isLeading()) return;
    if (answer.isOk) {
      pollState.responsive = true;
      pollState.renewedAt = 0;
      pollState.nextPollAt = 0;
      return;
    }
    pollState.nextPollAt = performance.now() + UNRESPONSIVE_POLL_INTERVAL_MS;
    return reconciler.endExpiredAttempts(pollState.host.id);
  }

  /**
   * Returns the active attempts on a worker whose records carry this leader's
   * term.
   */
  function findAttemptsOn(hostId: string): readonly AttemptId[] {
    const names: AttemptId[] = [];
    for (const {value} of mirror.entries.get().values()) {
      const attempt = value.attempts.at(-1);
      if (!isActive(value.state) || attempt?.hostId !== hostId) continue;
      if (value.term !== term) continue;
      names.push({jobId: value.id, attempt: attempt.number});
    }
    return names;
  }

  function choosePollInterval(report: WorkerReport): number {
    let intervalMs = MAX_POLL_INTERVAL_MS;
    for (const task of report.tasks) {
      if (task.state !== TaskState.Running) continue;
      intervalMs = Math.min(
        intervalMs,
        estimateTimeToEnd(task.jobId, task.progress),
      );
    }
    return Math.max(MIN_POLL_INTERVAL_MS, intervalMs);
  }

  function estimateTimeToEnd(jobId: string, progress: number): number {
    const job = mirror.entries.get().get(`jobs/${pool}/${jobId}`)?.value;
    const attempt = job?.attempts.at(-1);
    if (!job || !attempt) return MIN_EARLY_POLL_INTERVAL_MS;
    if (progress < MIN_EXTRAPOLATION_PROGRESS || job.checkpoint !== undefined) {
      const {runTimeMs} = context.estimates.estimate(job);
      return Math.max(MIN_EARLY_POLL_INTERVAL_MS, runTimeMs * EARLY_POLL_SHARE);
    }
    const ranMs = Date.now() - attempt.startedAt;
    return (ranMs * (1 - progress)) / progress;
  }

  return {
    pollDue,
    requestPoll(hostId) {
      const pollState = pollStates.get(hostId);
      if (pollState) pollState.nextPollAt = 0;
    },
  };
}
