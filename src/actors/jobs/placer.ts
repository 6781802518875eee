import {
  HostRoom,
  Placement,
  countPlaceable,
  isWaiting,
  planPlacements,
} from '../../decisions/jobs';
import {MirrorEntry, runInBackground} from '../../state';
import {
  AttemptEnd,
  DecisionKind,
  HostState,
  Job,
  JobAttempt,
  JobState,
} from '../../types';
import {AttemptStarter} from './attempt_starter';
import {HostPollState} from './host_poll_states';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Places waiting jobs on the workers of a pool. */
export interface Placer {
  /** Runs one placement round; resolves once its placements are stored. */
  place(): Promise<void>;
}

/** Maximum number of placements per round. */
const ROUND_SIZE = 64;
const MAX_CONCURRENCY = 16;

/**
 * Creates the placer.
 *
 * @param context shared state of the pool's jobs actor
 * @param starter sends the starts of placed attempts
 * @param getTimeSinceShortage returns the time since interactive requests last
 *     lacked slots, in ms
 */
export function createPlacer(
  context: JobsContext,
  starter: AttemptStarter,
  getTimeSinceShortage: () => number,
): Placer {
  const {mirror, reservations, slots, writer, pollStates, term, pool} = context;

  async function place(): Promise<void> {
    const entries = new Map<string, MirrorEntry<Job>>();
    for (const entry of mirror.entries.get().values()) {
      const {id, state} = entry.value;
      if (!isWaiting(state) || reservations.get(id)) continue;
      entries.set(id, entry);
    }
    if (entries.size === 0) return;
    const waiting = [...entries.values()].map(({value}) => value);
    const placeable = countPlaceableNow();
    const placements = plan(waiting, placeable);
    const placed = new Set(placements.map(({job}) => job.id));
    const job = waiting.find(({id}) => !placed.has(id));
    if (job && placeable > 0 && placements.length < ROUND_SIZE) signalNeed(job);
    await runBounded(placements, MAX_CONCURRENCY, async placement => {
      const entry = entries.get(placement.job.id);
      if (entry) await startAttempt(entry, placement);
    });
  }

  /**
   * Signals to the slot ledger that jobs lack slots, by a reservation that
   * fails.
   */
  function signalNeed({id, size}: Job): void {
    for (const {host, state} of context.getHosts()) {
      if (state !== HostState.Active) continue;
      if (slots.getFreeSlots(host.id) >= size.slots) continue;
      if (slots.reserve(id, host.id, size.slots)) slots.release(id);
      return;
    }
  }

  function countSlots(): number {
    return context.getHosts().reduce((sum, {host}) => sum + host.slots, 0);
  }

  function countPlaceableNow(): number {
    const minimum = context.getProfile()?.longWorkMinimum ?? 0;
    return countPlaceable({
      shortage: slots.getShortage().slots,
      sinceShortageMs: getTimeSinceShortage(),
      held: reservations.countSlots(),
      guaranteedSlots: Math.floor(minimum * countSlots()),
    });
  }

  function plan(
    waiting: readonly Job[],
    placeable: number,
  ): readonly Placement[] {
    const teamSlots = new Map<string, number>();
    for (const {job, size} of reservations.all()) {
      teamSlots.set(job.team, (teamSlots.get(job.team) ?? 0) + size.slots);
    }
    return planPlacements({
      now: Date.now(),
      waiting,
      rooms: listFreeCapacity(),
      estimate: context.estimates.estimate,
      teamSlots,
      teamQuotas: context.getProfile()?.teamQuotas ?? {},
      totalSlots: countSlots(),
      placeable,
      limit: ROUND_SIZE,
    });
  }

  function listFreeCapacity(): readonly HostRoom[] {
    const suspects = context.getSuspects();
    const next = context.getNextDrains?.() ?? new Set<string>();
    const rooms: HostRoom[] = [];
    for (const {host, state} of context.getHosts()) {
      const pollState = pollStates.get(host.id);
      if (state !== HostState.Active || suspects.has(host.id)) continue;
      if (!pollState || !isUsable(pollState)) continue;
      rooms.push({
        host,
        slots: slots.getFreeSlots(host.id),
        ...reservations.getFreeResources(host),
        avoided: next.has(host.id),
      });
    }
    return rooms;
  }

  async function startAttempt(
    entry: MirrorEntry<Job>,
    {job, hostId, estimate}: Placement,
  ): Promise<void> {
    const pollState = pollStates.get(hostId);
    if (!pollState || !context.isLeading()) return;
    const attempt: JobAttempt = {
      number: (job.attempts.at(-1)?.number ?? 0) + 1,
      hostId,
      term,
      bootNumber: pollState.report?.bootNumber,
      startedAt: Date.now(),
    };
    const reservation = {
      job,
      hostId,
      attempt: attempt.number,
      size: estimate.size,
      since: performance.now(),
    };
    if (!reservations.reserve(reservation)) return;
    const saved = await writer.save(entry, {
      state: JobState.Starting,
      attempts: [...startedAttempts(job), attempt],
      cause: `attempt ${attempt.number} starts on ${hostId}`,
    });
    if (!saved) {
      reservations.release(job.id);
      return;
    }
    context.telemetry.recordDecision({
      kind: DecisionKind.Place,
      subject: job.id,
      pool,
      cause: saved.value.cause,
      inputs: {
        term,
        attempt: attempt.number,
        estimatedRunTimeMs: Math.round(estimate.runTimeMs),
        dueInMs: job.dueAt - Date.now(),
      },
    });
    pollState.nextPollAt = Math.min(
      pollState.nextPollAt,
      performance.now() + FIRST_POLL_DELAY_MS,
    );
    runInBackground(
      () => starter.start(saved, pollState.host),
      error => context.telemetry.errors.report('job-start', error),
    );
  }

  return {place};
}

/** Maximum delay from a start to the next poll of its worker, in ms. */
const FIRST_POLL_DELAY_MS = 300;

function isUsable({responsive, report, avoidUntil}: HostPollState): boolean {
  if (!responsive || !report) return false;
  if (report.leaving || report.draining) return false;
  return performance.now() >= avoidUntil;
}

/**
 * Returns the attempts that were started; the others carry no information on
 * the job.
 */
function startedAttempts(job: Job): Job['attempts'] {
  return job.attempts.filter(({end}) => end !== AttemptEnd.NotStarted);
}
