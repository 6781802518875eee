import {isActive} from '../../decisions/jobs';
import {TaskOrder, TaskState, WorkerFailure} from '../../ports';
import {DecisionKind, JobState} from '../../types';
import {Holding} from './held_slots';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Stops the tasks of cancelled jobs and gives their room back. */
export interface Canceller {
  /** Starts the stops that are due; doesn't wait for them. */
  review(): void;
}

const AT_ONCE = 16;

/** Creates the canceller; a wave of cancellations runs beside placement. */
export function createCanceller(context: JobsContext): Canceller {
  const {mirror, heldSlots, watches, workers, pool, term} = context;
  let running = false;

  async function stopAll(): Promise<void> {
    const ended = [...heldSlots.all()].filter(isEnded);
    if (ended.length === 0) return;
    await runBounded(ended, AT_ONCE, stopTask);
    context.wake();
  }

  /** Tells whether room is held for an attempt that its record no longer wants. */
  function isEnded({job, attempt}: Holding): boolean {
    const current = mirror.entries.get().get(`jobs/${pool}/${job.id}`)?.value;
    if (!current) return true;
    if (current.state === JobState.Cancelled) return true;
    const last = current.attempts.at(-1);
    return last?.number === attempt && last.end !== undefined
      ? !isActive(current.state)
      : false;
  }

  async function stopTask({job, hostId, attempt}: Holding): Promise<void> {
    const host = watches.get(hostId)?.host;
    if (!host || !context.isLeading()) return heldSlots.release(job.id);
    const stopped = await workers.orderTask(
      host,
      job.id,
      attempt,
      term,
      TaskOrder.Stop,
    );
    const unreachable = stopped.isErr && stopped.error !== WorkerFailure.Fenced;
    if (unreachable) return;
    heldSlots.release(job.id);
    context.telemetry.decide({
      kind: DecisionKind.Cancel,
      subject: job.id,
      pool,
      cause: `attempt ${attempt} on ${hostId} is stopped`,
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
      void stopAll().finally(() => (running = false));
    },
  };
}
