import {OUTAGE_RENEWAL_MS, TASK_LEASE_MS} from '../../decisions/jobs';
import {TaskName, WorkerFailure, Workers} from '../../ports';
import {Host} from '../../types';
import {createTicker} from '../shared';

/** Renews the leases of running tasks after the loss of the store. */
export interface Caretaker {
  dispose(): void;
}

/** The running tasks of one worker. */
export interface HostTasks {
  readonly host: Host;
  readonly tasks: readonly TaskName[];
}

/** What the caretaker renews and under which term. */
export interface CaretakerOptions {
  readonly workers: Workers;
  readonly pool: string;
  readonly term: number;
  readonly hosts: readonly HostTasks[];
}

const RENEW_MS = TASK_LEASE_MS / 4;

/**
 * Creates a caretaker for a leader that no longer leads.
 *
 * During an outage of the store nobody else can lead. Once somebody does, each
 * worker refuses the old term and the caretaker leaves it alone. It ends after
 * the time that new leaders wait for.
 */
export function createCaretaker(options: CaretakerOptions): Caretaker {
  const {workers, pool, term} = options;
  const left = new Map(options.hosts.map(known => [known.host.id, known]));
  const endsAt = performance.now() + OUTAGE_RENEWAL_MS;

  async function renew({host, tasks}: HostTasks): Promise<void> {
    const answer = await workers.report(host, {pool, term, renew: tasks});
    if (answer.isErr && answer.error === WorkerFailure.Fenced) {
      left.delete(host.id);
    }
  }

  const ticker = createTicker(RENEW_MS, () => {
    if (performance.now() > endsAt) left.clear();
    for (const known of left.values()) void renew(known);
    if (left.size === 0) setImmediate(() => ticker.dispose());
  });

  return {dispose: () => ticker.dispose()};
}
