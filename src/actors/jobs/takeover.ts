import {isActive} from '../../decisions/jobs';
import {MirrorEntry} from '../../state';
import {Job} from '../../types';
import {AttemptReconciler} from './attempt_reconciler';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Takes over attempts that were started by earlier leaders. */
export interface Takeover {
  /**
   * Writes this leader's term to all active records and reserves the resources
   * that they use.
   */
  review(): Promise<void>;
}

const MAX_CONCURRENCY = 32;

/**
 * Creates the takeover; repeated reviews also find attempts that an old leader
 * added later.
 */
export function createTakeover(
  context: JobsContext,
  reconciler: AttemptReconciler,
): Takeover {
  const {mirror, writer, reservations, timestamps, pollStates, term} = context;

  async function review(): Promise<void> {
    const active = [...mirror.entries.get().values()].filter(({value}) =>
      isActive(value.state),
    );
    for (const {value} of active) adopt(value);
    const inherited = active.filter(({value}) => value.term !== term);
    await runBounded(inherited, MAX_CONCURRENCY, writeTerm);
    for (const hostId of findUnpolledHosts(active)) {
      await reconciler.endExpiredAttempts(hostId);
    }
  }

  function adopt(job: Job): void {
    const attempt = job.attempts.at(-1);
    if (!attempt) return;
    timestamps.getFirstSeenAt({jobId: job.id, attempt: attempt.number});
    const known = reservations.get(job.id);
    if (known?.attempt === attempt.number) return;
    reservations.adopt({
      job,
      hostId: attempt.hostId,
      attempt: attempt.number,
      size: context.estimates.estimate(job).size,
      since: performance.now(),
    });
  }

  /**
   * Writes this leader's term to a record, so that pending writes of earlier
   * leaders conflict.
   */
  async function writeTerm(entry: MirrorEntry<Job>): Promise<void> {
    const {state} = entry.value;
    await writer.save(entry, {state});
  }

  function findUnpolledHosts(
    active: readonly MirrorEntry<Job>[],
  ): ReadonlySet<string> {
    const unpolled = new Set<string>();
    for (const {value} of active) {
      const hostId = value.attempts.at(-1)?.hostId;
      if (hostId !== undefined && !pollStates.get(hostId)) unpolled.add(hostId);
    }
    return unpolled;
  }

  return {review};
}
