import {Observation, isEmpty, needsDrain} from '../../decisions/fleet';
import {TaskOrder, Workers} from '../../ports';
import {
  Host,
  HostAssignment,
  HostState,
  Unavailability,
  Wave,
} from '../../types';

/** State from which the orders to hosts are derived. */
export interface OrderInputs {
  readonly hosts: ReadonlyMap<string, Host>;
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly unavailable: readonly Unavailability[];
  readonly observations: ReadonlyMap<string, Observation>;
  readonly waves: readonly Wave[];
  readonly term: number;
}

/** States in which a host has to refuse new work. */
const DRAINED_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Moving,
  HostState.Quarantined,
];

/**
 * Sends hosts the drain, checkpoint and reboot orders that the stored ledger
 * requires.
 *
 * Orders are derived from the ledger and the last observation of each host, so
 * they are repeated until the host reports their effect, and a delayed order of
 * an earlier leader is reverted. A reboot order carries the boot number that it
 * ends, which makes it idempotent.
 *
 * @param workers client of the workers
 * @param inputs the stored ledger and the observations of the hosts
 * @returns ids of the hosts that were sent orders
 */
export async function sendOrders(
  workers: Workers,
  inputs: OrderInputs,
): Promise<readonly string[]> {
  const entries = new Map(inputs.unavailable.map(e => [e.hostId, e]));
  const ordered: string[] = [];
  const orders: Promise<unknown>[] = [];
  for (const [hostId, host] of inputs.hosts) {
    const latest = inputs.observations.get(hostId);
    if (!latest?.reachable) continue;
    const given = orderHost(workers, host, entries.get(hostId), latest, inputs);
    if (given.length === 0) continue;
    ordered.push(hostId);
    orders.push(...given);
  }
  await Promise.all(orders);
  return ordered;
}

function orderHost(
  workers: Workers,
  host: Host,
  entry: Unavailability | undefined,
  latest: Observation,
  inputs: OrderInputs,
): readonly Promise<unknown>[] {
  if (!entry) return latest.draining ? [workers.setDraining(host, false)] : [];
  if (entry.state === HostState.Rebooting) {
    return orderReboot(workers, host, entry, latest);
  }
  if (!DRAINED_STATES.includes(entry.state)) return [];
  if (!latest.draining) return [workers.setDraining(host, true)];
  if (!isUrgent(host.id, inputs)) return [];
  return latest.tasks.map(({jobId, attempt}) =>
    workers.orderTask(host, jobId, attempt, inputs.term, TaskOrder.Checkpoint),
  );
}

function orderReboot(
  workers: Workers,
  host: Host,
  entry: Unavailability,
  latest: Observation,
): readonly Promise<unknown>[] {
  if (latest.bootNumber !== entry.bootNumber) return [];
  if (!latest.draining) return [workers.setDraining(host, true)];
  if (!isEmpty(latest, Date.now())) return [];
  return [workers.reboot(host, entry.bootNumber)];
}

/**
 * Whether an urgent wave includes the host, even if another wave is draining
 * it.
 */
function isUrgent(hostId: string, inputs: OrderInputs): boolean {
  const assignment = inputs.assignments.get(hostId);
  return inputs.waves.some(
    wave => wave.urgent && needsDrain(wave, hostId, assignment),
  );
}
