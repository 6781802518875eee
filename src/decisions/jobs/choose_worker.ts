import {HostState, Job, JobState, PoolHost} from '../../types';

const OCCUPYING: readonly JobState[] = [JobState.Starting, JobState.Running];

/**
 * Chooses a worker with room for a job: the one with the most free slots.
 *
 * @param job the job to place
 * @param hosts the pool's hosts
 * @param jobs all jobs of the pool, whose sizes take room
 * @returns id of the worker, or undefined if none has room
 */
export function chooseWorker(
  job: Job,
  hosts: readonly PoolHost[],
  jobs: readonly Job[],
): string | undefined {
  let best: string | undefined;
  let bestFree = job.size.slots - 1;
  for (const {host, state} of hosts) {
    if (state !== HostState.Active) continue;
    const free = host.slots - slotsTaken(host.id, jobs);
    if (free <= bestFree) continue;
    best = host.id;
    bestFree = free;
  }
  return best;
}

function slotsTaken(hostId: string, jobs: readonly Job[]): number {
  let taken = 0;
  for (const job of jobs) {
    if (!OCCUPYING.includes(job.state)) continue;
    if (job.attempts.at(-1)?.hostId === hostId) taken += job.size.slots;
  }
  return taken;
}
