import {isActive} from '../../decisions/jobs';
import {TaskOrder, TaskState, WorkerFailure} from '../../ports';
import {runInBackground} from '../../state';
import {DecisionKind, JobState} from '../../types';
import {JobReservation} from './job_reservations';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Stops the tasks of cancelled jobs and frees their resources. */
export interface Canceller {
  /** Starts to stop all such tasks without waiting for the workers. */
  review(): void;
}

const MAX_CONCURRENCY = 16;

/**
 * Creates the canceller; it runs concurrently with placement, so mass
 * cancellations don't block it.
 */
export function createCanceller(context: JobsContext): Canceller {
  const {mirror, reservations, pollStates, workers, pool, term} = context;
  let running = false;

  async function stopAll(): Promise<void> {
    const orphaned = [...reservations.all()].filter(isOrphaned);
    if (orphaned.length === 0) return;
    await runBounded(orphaned, MAX_CONCURRENCY, stopTask);
    context.requestRound();
  }

  /**
   * Whether resources are held for an attempt that has ended or whose job is
   * cancelled or deleted.
   */
  function isOrphaned({job, attempt}: JobReservation): boolean {
    const current = mirror.entries.get().get(`jobs/${pool}/${job.id}`)?.value;
    if (!current) return true;
    if (current.state === JobState.Cancelled) return true;
    const last = current.attempts.at(-1);
    return last?.number === attempt && last.end !== undefined
      ? !isActive(current.state)
      : false;
  }

  async function stopTask({
    job,
    hostId,
    attempt,
  }: JobReservation): Promise<void> {
    const host = pollStates.get(hostId)?.host;
    if (!host || !context.isLeading()) return reservations.release(job.id);
    const stopped = await workers.orderTask(
      host,
      job.id,
      attempt,
      term,
      TaskOrder.Stop,
    );
    const unreachable = stopped.isErr && stopped.error !== WorkerFailure.Fenced;
    if (unreachable) return;
    reservations.release(job.id);
    context.telemetry.recordDecision({
      kind: DecisionKind.Cancel,
      subject: job.id,
      pool,
      cause: `stopped attempt ${attempt} on ${hostId}`,
      inputs: {term, attempt},
    });
    if (stopped.isErr || stopped.value.state === TaskState.NotStarted) return;
    const order = TaskOrder.Release;
    await workers.orderTask(host, job.id, attempt, term, order);
  }

  return {
    review() {
      if (running) return;
      running = true;
      runInBackground(
        () => stopAll().finally(() => (running = false)),
        error => context.telemetry.errors.report('job-cancellation', error),
      );
    },
  };
}
