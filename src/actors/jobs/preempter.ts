import {PreemptionCandidate, chooseVictims} from '../../decisions/jobs';
import {TaskOrder, TaskState} from '../../ports';
import {AttemptEnd, DecisionKind, HostState, Job, JobState} from '../../types';
import {JobReservation} from './job_reservations';
import {HostPoller} from './host_poller';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/**
 * Preempts jobs to free slots for interactive requests and to evacuate hosts
 * that go out of service.
 */
export interface Preempter {
  /** Runs one review; resolves once the workers have answered all orders. */
  review(): Promise<void>;
  /** Returns the time since interactive requests last lacked slots, in ms. */
  getTimeSinceShortage(): number;
}

const MAX_CONCURRENCY = 32;
/** States of hosts from which jobs are evacuated. */
const EVACUATED_STATES: readonly HostState[] = [
  HostState.Quarantined,
  HostState.Leaving,
];
/** Remaining run time up to which a task on such a host may finish, in ms. */
const EVACUATION_GRACE_MS = 5_000;

/** Creates the preempter. */
export function createPreempter(
  context: JobsContext,
  poller: HostPoller,
): Preempter {
  const {slots, reservations, mirror, pollStates, workers, telemetry} = context;
  const {term, pool} = context;
  const checkpointing = new Set<string>();
  let lastShortageAt = -Infinity;
  let reviewing = false;

  async function review(): Promise<void> {
    if (reviewing || !context.isLeading()) return;
    reviewing = true;
    try {
      await freeSlots();
      await evacuateHosts();
    } finally {
      reviewing = false;
    }
  }

  async function freeSlots(): Promise<void> {
    const shortage = slots.getShortage();
    if (shortage.slots <= 0) return;
    lastShortageAt = performance.now();
    const profile = context.getProfile();
    const hosts = context.getHosts();
    const total = hosts.reduce((sum, {host}) => sum + host.slots, 0);
    const guaranteedSlots = Math.floor((profile?.longWorkMinimum ?? 0) * total);
    const held = [...reservations.all()];
    const victims = new Set(
      chooseVictims({
        running: held.map(toCandidate),
        neededSlots: Math.ceil(shortage.slots),
        guaranteedSlots,
      }),
    );
    const chosen = held.filter(({job}) => victims.has(job.id));
    await runBounded(chosen, MAX_CONCURRENCY, reservation =>
      preempt(reservation, `interactive requests lack ${shortage.slots} slots`),
    );
  }

  async function evacuateHosts(): Promise<void> {
    const evacuated = new Set(
      context
        .getHosts()
        .filter(({state}) => EVACUATED_STATES.includes(state))
        .map(({host}) => host.id),
    );
    if (evacuated.size === 0) return;
    const toPreempt = [...reservations.all()].filter(reservation => {
      if (!evacuated.has(reservation.hostId)) return false;
      const {idempotent, remainingMs} = toCandidate(reservation);
      return idempotent && remainingMs > EVACUATION_GRACE_MS;
    });
    await runBounded(toPreempt, MAX_CONCURRENCY, reservation =>
      preempt(
        reservation,
        `${reservation.hostId} is ${stateOf(reservation.hostId)}`,
      ),
    );
  }

  /**
   * Orders the worker to checkpoint a task; the record is updated from the next
   * report.
   */
  async function preempt(
    reservation: JobReservation,
    cause: string,
  ): Promise<void> {
    const {job, hostId, attempt} = reservation;
    const pollState = pollStates.get(hostId);
    if (!pollState || !isRunning(job.id) || checkpointing.has(job.id)) return;
    checkpointing.add(job.id);
    const order = TaskOrder.Checkpoint;
    const answer = await workers.orderTask(
      pollState.host,
      job.id,
      attempt,
      term,
      order,
    );
    checkpointing.delete(job.id);
    if (answer.isErr || answer.value.state !== TaskState.Checkpointed) return;
    reservations.releaseEarly(job.id);
    poller.requestPoll(hostId);
    telemetry.recordDecision({
      kind: DecisionKind.Preempt,
      subject: job.id,
      pool,
      cause: `checkpointed ${job.id} on ${hostId}: ${cause}`,
      inputs: {term, attempt, progress: answer.value.progress},
    });
  }

  function toCandidate(reservation: JobReservation): PreemptionCandidate {
    const {job, since, size} = reservation;
    const ranMs = performance.now() - since;
    const attempts = findJob(job.id)?.attempts ?? [];
    return {
      jobId: job.id,
      slots: size.slots,
      idempotent: job.idempotent && isRunning(job.id),
      remainingMs: estimateRemaining(reservation, ranMs),
      dueInMs: job.dueAt - Date.now(),
      ranMs,
      preemptions: attempts.filter(({end}) => end === AttemptEnd.Checkpointed)
        .length,
    };
  }

  function estimateRemaining(
    reservation: JobReservation,
    ranMs: number,
  ): number {
    const {job, hostId, attempt} = reservation;
    const task = pollStates
      .get(hostId)
      ?.report?.tasks.find(t => t.jobId === job.id && t.attempt === attempt);
    const total = context.estimates.estimate(job).runTimeMs;
    return Math.max(0, total * (1 - (task?.progress ?? 0)) || total - ranMs);
  }

  function stateOf(hostId: string): HostState | undefined {
    return context.getHosts().find(({host}) => host.id === hostId)?.state;
  }

  function isRunning(id: string): boolean {
    return findJob(id)?.state === JobState.Running;
  }

  function findJob(id: string): Job | undefined {
    return mirror.entries.get().get(`jobs/${pool}/${id}`)?.value;
  }

  return {
    review,
    getTimeSinceShortage: () => performance.now() - lastShortageAt,
  };
}
