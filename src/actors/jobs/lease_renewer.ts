import {OUTAGE_RENEWAL_MS, TASK_LEASE_MS} from '../../decisions/jobs';
import {AttemptId, WorkerFailure, Workers} from '../../ports';
import {UnexpectedErrors} from '../../telemetry';
import {Host} from '../../types';
import {createTicker} from '../shared';

/** Renews the leases of running tasks after this leader has lost the store. */
export interface LeaseRenewer {
  dispose(): void;
}

/** Running tasks of one worker. */
export interface HostTasks {
  readonly host: Host;
  readonly tasks: readonly AttemptId[];
}

/** Options for {@link createLeaseRenewer}. */
export interface LeaseRenewerOptions {
  readonly workers: Workers;
  readonly pool: string;
  readonly term: number;
  readonly hosts: readonly HostTasks[];
  readonly errors: UnexpectedErrors;
}

const RENEWAL_INTERVAL_MS = TASK_LEASE_MS / 4;

/**
 * Creates the lease renewer of a leader that has resigned.
 *
 * No new leader can be elected while the store is unavailable. Once there is
 * one, its calls fence the old term at each worker, and that worker's leases
 * are no longer renewed. Renewal ends after OUTAGE_RENEWAL_MS, which new
 * leaders wait for before they consider an inherited lease expired.
 */
export function createLeaseRenewer(options: LeaseRenewerOptions): LeaseRenewer {
  const {workers, pool, term} = options;
  const remaining = new Map(options.hosts.map(known => [known.host.id, known]));
  const renewUntil = performance.now() + OUTAGE_RENEWAL_MS;

  async function renew({host, tasks}: HostTasks): Promise<void> {
    const answer = await workers.report(host, {pool, term, renew: tasks});
    if (answer.isErr && answer.error === WorkerFailure.Fenced) {
      remaining.delete(host.id);
    }
  }

  async function renewAll(): Promise<void> {
    if (performance.now() > renewUntil) remaining.clear();
    if (remaining.size === 0) setImmediate(() => ticker.dispose());
    await Promise.all([...remaining.values()].map(renew));
  }

  const ticker = createTicker({
    intervalMs: RENEWAL_INTERVAL_MS,
    activity: 'lease-renewal',
    tick: renewAll,
    errors: options.errors,
  });

  return {dispose: () => ticker.dispose()};
}
