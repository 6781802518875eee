import {
  HostRoom,
  Placement,
  countPlaceable,
  isWaiting,
  planPlacements,
} from '../../decisions/jobs';
import {MirrorEntry} from '../../state';
import {
  AttemptEnd,
  DecisionKind,
  HostState,
  Job,
  JobAttempt,
  JobState,
} from '../../types';
import {AttemptStarter} from './attempt_starter';
import {HostWatch} from './host_watches';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Places waiting jobs on the workers of a pool. */
export interface Placer {
  /** Runs one placement round; resolves once its placements are stored. */
  place(): Promise<void>;
}

/** Maximum number of placements per round. */
const ROUND_LIMIT = 64;
const AT_ONCE = 16;

/**
 * Creates the placer.
 *
 * @param context shared state of the pool's jobs actor
 * @param starter sends the starts of placed attempts
 * @param sinceShortage returns the time since interactive requests last lacked
 *     slots, in ms
 */
export function createPlacer(
  context: JobsContext,
  starter: AttemptStarter,
  sinceShortage: () => number,
): Placer {
  const {mirror, heldSlots, slots, writer, watches, term, pool} = context;

  async function place(): Promise<void> {
    const entries = new Map<string, MirrorEntry<Job>>();
    for (const entry of mirror.entries.get().values()) {
      const {id, state} = entry.value;
      if (!isWaiting(state) || heldSlots.get(id)) continue;
      entries.set(id, entry);
    }
    if (entries.size === 0) return;
    const waiting = [...entries.values()].map(({value}) => value);
    const placeable = countPlaceableNow();
    const placements = plan(waiting, placeable);
    const placed = new Set(placements.map(({job}) => job.id));
    const left = waiting.find(({id}) => !placed.has(id));
    if (left && placeable > 0 && placements.length < ROUND_LIMIT) ask(left);
    await runBounded(placements, AT_ONCE, async placement => {
      const entry = entries.get(placement.job.id);
      if (entry) await begin(entry, placement);
    });
  }

  /** Signals to the slot ledger that jobs lack slots, by a reservation that fails. */
  function ask({id, size}: Job): void {
    for (const {host, state} of context.getHosts()) {
      if (state !== HostState.Active) continue;
      if (slots.getFree(host.id) >= size.slots) continue;
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
      sinceShortageMs: sinceShortage(),
      held: heldSlots.count(),
      kept: Math.floor(minimum * countSlots()),
    });
  }

  function plan(
    waiting: readonly Job[],
    placeable: number,
  ): readonly Placement[] {
    const teamSlots = new Map<string, number>();
    for (const {job, size} of heldSlots.all()) {
      teamSlots.set(job.team, (teamSlots.get(job.team) ?? 0) + size.slots);
    }
    return planPlacements({
      now: Date.now(),
      waiting,
      rooms: listRooms(),
      estimate: context.estimates.estimate,
      teamSlots,
      teamQuotas: context.getProfile()?.teamQuotas ?? {},
      totalSlots: countSlots(),
      placeable,
      limit: ROUND_LIMIT,
    });
  }

  function listRooms(): readonly HostRoom[] {
    const suspects = context.getSuspects();
    const next = context.getNextDrains?.() ?? new Set<string>();
    const rooms: HostRoom[] = [];
    for (const {host, state} of context.getHosts()) {
      const watch = watches.get(host.id);
      if (state !== HostState.Active || suspects.has(host.id)) continue;
      if (!watch || !isUsable(watch)) continue;
      rooms.push({
        host,
        slots: slots.getFree(host.id),
        ...heldSlots.room(host),
        avoided: next.has(host.id),
      });
    }
    return rooms;
  }

  async function begin(
    entry: MirrorEntry<Job>,
    {job, hostId, estimate}: Placement,
  ): Promise<void> {
    const watch = watches.get(hostId);
    if (!watch || !context.isLeading()) return;
    const attempt: JobAttempt = {
      number: (job.attempts.at(-1)?.number ?? 0) + 1,
      hostId,
      term,
      bootNumber: watch.report?.bootNumber,
      startedAt: Date.now(),
    };
    const holding = {
      job,
      hostId,
      attempt: attempt.number,
      size: estimate.size,
      since: performance.now(),
    };
    if (!heldSlots.reserve(holding)) return;
    const saved = await writer.save(entry, {
      state: JobState.Starting,
      attempts: [...startedAttempts(job), attempt],
      cause: `attempt ${attempt.number} starts on ${hostId}`,
    });
    if (!saved) {
      heldSlots.release(job.id);
      return;
    }
    context.telemetry.decide({
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
    watch.nextPollAt = Math.min(watch.nextPollAt, performance.now() + FIRST_MS);
    void starter.start(saved, watch.host);
  }

  return {place};
}

/** Maximum delay from a start to the next poll of its worker, in ms. */
const FIRST_MS = 300;

function isUsable({answering, report, avoidUntil}: HostWatch): boolean {
  if (!answering || !report) return false;
  if (report.leaving || report.draining) return false;
  return performance.now() >= avoidUntil;
}

/** Returns the attempts that were started; the others carry no information on the job. */
function startedAttempts(job: Job): Job['attempts'] {
  return job.attempts.filter(({end}) => end !== AttemptEnd.NotStarted);
}
