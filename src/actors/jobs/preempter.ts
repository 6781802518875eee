import {Candidate, chooseVictims} from '../../decisions/jobs';
import {TaskOrder, TaskState} from '../../ports';
import {AttemptEnd, DecisionKind, HostState, Job, JobState} from '../../types';
import {Holding} from './held_slots';
import {HostPoller} from './host_poller';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Preempts jobs to free slots for interactive requests and to evacuate hosts that go out of service. */
export interface Preempter {
  /** Runs one review; resolves once the workers have answered all orders. */
  review(): Promise<void>;
  /** Returns the time since interactive requests last lacked slots, in ms. */
  sinceShortage(): number;
}

const AT_ONCE = 32;
/** States of hosts from which jobs are evacuated. */
const LEFT: readonly HostState[] = [HostState.Quarantined, HostState.Leaving];
/** Remaining run time up to which a task on such a host may finish, in ms. */
const LEAVE_GRACE_MS = 5_000;

/** Creates the preempter. */
export function createPreempter(
  context: JobsContext,
  poller: HostPoller,
): Preempter {
  const {slots, heldSlots, mirror, watches, workers, telemetry} = context;
  const {term, pool} = context;
  const ordered = new Set<string>();
  let lastShortageAt = -Infinity;
  let reviewing = false;

  async function review(): Promise<void> {
    if (reviewing || !context.isLeading()) return;
    reviewing = true;
    try {
      await makeRoom();
      await leaveHosts();
    } finally {
      reviewing = false;
    }
  }

  async function makeRoom(): Promise<void> {
    const shortage = slots.getShortage();
    if (shortage.slots <= 0) return;
    lastShortageAt = performance.now();
    const profile = context.getProfile();
    const hosts = context.getHosts();
    const total = hosts.reduce((sum, {host}) => sum + host.slots, 0);
    const kept = Math.floor((profile?.longWorkMinimum ?? 0) * total);
    const held = [...heldSlots.all()];
    const victims = new Set(
      chooseVictims({
        running: held.map(describe),
        wanted: Math.ceil(shortage.slots),
        kept,
      }),
    );
    const chosen = held.filter(({job}) => victims.has(job.id));
    await runBounded(chosen, AT_ONCE, holding =>
      preempt(holding, `interactive requests lack ${shortage.slots} slots`),
    );
  }

  async function leaveHosts(): Promise<void> {
    const left = new Set(
      context
        .getHosts()
        .filter(({state}) => LEFT.includes(state))
        .map(({host}) => host.id),
    );
    if (left.size === 0) return;
    const leaving = [...heldSlots.all()].filter(holding => {
      if (!left.has(holding.hostId)) return false;
      const {idempotent, remainingMs} = describe(holding);
      return idempotent && remainingMs > LEAVE_GRACE_MS;
    });
    await runBounded(leaving, AT_ONCE, holding =>
      preempt(holding, `${holding.hostId} is ${stateOf(holding.hostId)}`),
    );
  }

  /** Orders the worker to checkpoint a task; the record is updated from the next report. */
  async function preempt(holding: Holding, cause: string): Promise<void> {
    const {job, hostId, attempt} = holding;
    const watch = watches.get(hostId);
    if (!watch || !isRunning(job.id) || ordered.has(job.id)) return;
    ordered.add(job.id);
    const order = TaskOrder.Checkpoint;
    const answer = await workers.orderTask(
      watch.host,
      job.id,
      attempt,
      term,
      order,
    );
    ordered.delete(job.id);
    if (answer.isErr || answer.value.state !== TaskState.Checkpointed) return;
    heldSlots.releaseEarly(job.id);
    poller.hurry(hostId);
    telemetry.decide({
      kind: DecisionKind.Preempt,
      subject: job.id,
      pool,
      cause: `checkpointed ${job.id} on ${hostId}: ${cause}`,
      inputs: {term, attempt, progress: answer.value.progress},
    });
  }

  function describe(holding: Holding): Candidate {
    const {job, since, size} = holding;
    const ranMs = performance.now() - since;
    const ends = findJob(job.id)?.attempts ?? [];
    return {
      jobId: job.id,
      slots: size.slots,
      idempotent: job.idempotent && isRunning(job.id),
      remainingMs: estimateRemaining(holding, ranMs),
      dueInMs: job.dueAt - Date.now(),
      ranMs,
      preemptions: ends.filter(({end}) => end === AttemptEnd.Checkpointed)
        .length,
    };
  }

  function estimateRemaining(holding: Holding, ranMs: number): number {
    const {job, hostId, attempt} = holding;
    const task = watches
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
    sinceShortage: () => performance.now() - lastShortageAt,
  };
}
