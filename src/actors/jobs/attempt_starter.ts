import {START_WINDOW_MS, TASK_LEASE_MS} from '../../decisions/jobs';
import {WorkerFailure} from '../../ports';
import {MirrorEntry} from '../../state';
import {AttemptEnd, Host, Job, JobState} from '../../types';
import {AttemptEndRecorder} from './attempt_end_recorder';
import {JobsContext} from './jobs_context';

/** Sends the starts of stored attempts to workers. */
export interface AttemptStarter {
  /** Sends the start of a job's current attempt; idempotent per attempt. */
  start(entry: MirrorEntry<Job>, host: Host): Promise<void>;
}

/** Failures that rule out that the worker has started the attempt. */
const NOT_STARTED_FAILURES: readonly WorkerFailure[] = [
  WorkerFailure.ConnectFailed,
  WorkerFailure.Busy,
  WorkerFailure.Leaving,
  WorkerFailure.Fenced,
];

/** Time for which a worker gets no further starts after a failed one, in ms. */
const START_BACKOFF_MS = 1_000;

/** Creates the starter of attempts. */
export function createAttemptStarter(
  context: JobsContext,
  endRecorder: AttemptEndRecorder,
): AttemptStarter {
  const {workers, writer, timestamps, pool, term} = context;
  const inFlight = new Set<string>();

  async function start(entry: MirrorEntry<Job>, host: Host): Promise<void> {
    const jobId = entry.value.id;
    if (inFlight.has(jobId)) return;
    inFlight.add(jobId);
    try {
      await send(entry, host);
    } finally {
      inFlight.delete(jobId);
    }
  }

  async function send(entry: MirrorEntry<Job>, host: Host): Promise<void> {
    const job = entry.value;
    const attempt = job.attempts.at(-1);
    if (!attempt || attempt.term !== term || !context.isLeading()) return;
    const name = {jobId: job.id, attempt: attempt.number};
    const isFirstSend = timestamps.getRenewedAt(name) === 0;
    timestamps.setRenewedAt(name, performance.now());
    const started = await workers.startTask(host, {
      ...name,
      pool,
      term,
      leaseMs: TASK_LEASE_MS,
      bootNumber: attempt.bootNumber,
      startBefore: Date.now() + START_WINDOW_MS,
      size: job.size,
      input: job.input,
      checkpoint: job.checkpoint,
      idempotent: job.idempotent,
    });
    if (!context.isLeading()) return;
    if (started.isOk) {
      await writer.save(entry, {
        state: JobState.Running,
        cause: `runs on ${host.id}`,
      });
      return;
    }
    const pollState = context.pollStates.get(host.id);
    if (pollState) pollState.avoidUntil = performance.now() + START_BACKOFF_MS;
    if (isFirstSend && NOT_STARTED_FAILURES.includes(started.error)) {
      await endRecorder.record(entry, AttemptEnd.NotStarted);
    }
  }

  return {start};
}
