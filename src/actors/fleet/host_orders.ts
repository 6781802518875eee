import {Observation, isEmpty, needsDrain} from '../../decisions/fleet';
import {TaskOrder, Workers} from '../../ports';
import {
  Host,
  HostAssignment,
  HostState,
  Unavailability,
  Wave,
} from '../../types';

/** What the orders to hosts follow from. */
export interface OrderInputs {
  readonly hosts: ReadonlyMap<string, Host>;
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly unavailable: readonly Unavailability[];
  readonly observations: ReadonlyMap<string, Observation>;
  readonly waves: readonly Wave[];
  readonly term: number;
}

/** States in which a host must refuse new work. */
const REFUSING: readonly HostState[] = [
  HostState.Draining,
  HostState.Moving,
  HostState.Quarantined,
];

/**
 * Gives hosts the orders that the written ledger calls for.
 *
 * Every order follows from the ledger and the last observation, so that it is
 * repeated until it shows and undoes what an earlier leader ordered late. A
 * reboot names the boot that it ends, which makes it idempotent.
 *
 * @param workers calls to workers
 * @param inputs the written ledger and what was seen
 * @returns ids of the hosts that got orders
 */
export async function giveOrders(
  workers: Workers,
  inputs: OrderInputs,
): Promise<readonly string[]> {
  const entries = new Map(inputs.unavailable.map(e => [e.hostId, e]));
  const ordered: string[] = [];
  const orders: Promise<unknown>[] = [];
  for (const [hostId, host] of inputs.hosts) {
    const seen = inputs.observations.get(hostId);
    if (!seen?.reachable) continue;
    const given = orderHost(workers, host, entries.get(hostId), seen, inputs);
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
  seen: Observation,
  inputs: OrderInputs,
): readonly Promise<unknown>[] {
  if (!entry) return seen.draining ? [workers.setDraining(host, false)] : [];
  if (entry.state === HostState.Rebooting) {
    return orderReboot(workers, host, entry, seen);
  }
  if (!REFUSING.includes(entry.state)) return [];
  if (!seen.draining) return [workers.setDraining(host, true)];
  if (!isUrgent(host.id, inputs)) return [];
  return seen.tasks.map(({jobId, attempt}) =>
    workers.orderTask(host, jobId, attempt, inputs.term, TaskOrder.Checkpoint),
  );
}

function orderReboot(
  workers: Workers,
  host: Host,
  entry: Unavailability,
  seen: Observation,
): readonly Promise<unknown>[] {
  if (seen.bootNumber !== entry.bootNumber) return [];
  if (!seen.draining) return [workers.setDraining(host, true)];
  if (!isEmpty(seen, Date.now())) return [];
  return [workers.reboot(host, entry.bootNumber)];
}

/** Tells whether an urgent wave wants the host, whichever wave drains it. */
function isUrgent(hostId: string, inputs: OrderInputs): boolean {
  const assignment = inputs.assignments.get(hostId);
  return inputs.waves.some(
    wave => wave.urgent && needsDrain(wave, hostId, assignment),
  );
}
