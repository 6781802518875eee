import {After} from '@cucumber/cucumber';
import {HistoryEvent} from '../../src/history/fleet';
import {WorkerModel} from '../../src/stand_ins/worker';
import {HostAssignment, HostState, PoolRecord, Wave} from '../../src/types';
import {recordFleetHistory} from '../support/fleet_history';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';

/** State shared by the steps of a fleet scenario. */
export interface FleetWorld {
  readonly site: MemorySite;
  readonly events: readonly HistoryEvent[];
}

let current: FleetWorld | undefined;

After(() => {
  current?.site.dispose();
  current = undefined;
});

/** Returns the fleet of the running scenario. */
export function getFleet(): FleetWorld {
  if (!current) throw new Error('the scenario has not created a fleet');
  return current;
}

/**
 * Creates a fleet whose history is recorded from the first write.
 *
 * @param entries number of entry hosts
 */
export async function createFleet(entries: number): Promise<void> {
  const site = createMemorySite({entries});
  const events = recordFleetHistory(site.keyValue, site.workers.values());
  current = {site, events};
  await configureSite(site);
}

/** Reads a pool's record, which lists its unavailable hosts, from the store. */
export function readLedger(pool: string): PoolRecord {
  const entry = getFleet().site.keyValue.get(`pools/${pool}`);
  if (!entry) throw new Error(`pool ${pool} has no record in the store`);
  return JSON.parse(entry.value) as PoolRecord;
}

/** Reads a wave from the store. */
export function readWave(id: string): Wave {
  const entry = getFleet().site.keyValue.get(`waves/${id}`);
  if (!entry) throw new Error(`wave ${id} is not in the store`);
  return JSON.parse(entry.value) as Wave;
}

/** Reads the assignments of a pool's hosts from the store. */
export function readAssignments(pool: string): readonly HostAssignment[] {
  const {entries} = getFleet().site.keyValue.list('hosts/');
  return entries
    .map(({value}) => JSON.parse(value) as HostAssignment)
    .filter(assignment => assignment.pool === pool);
}

/** Returns the workers whose hosts were initially assigned to a pool. */
export function listWorkers(pool: string): readonly WorkerModel[] {
  const workers = [...getFleet().site.workers.values()];
  return workers.filter(worker => worker.host.initialPool === pool);
}

/** Returns a worker by its host's id. */
export function findWorker(hostId: string): WorkerModel {
  const worker = getFleet().site.workers.get(hostId);
  if (!worker) throw new Error(`host ${hostId} has no worker`);
  return worker;
}

/**
 * Returns whether every entry host that reaches the store sees a host in the
 * given state.
 */
export function isSeenAs(hostId: string, state: HostState): boolean {
  const {entries} = getFleet().site;
  return entries.every(({core, storeFaults}) => {
    if (storeFaults.down) return true;
    const pool = core.view.getAssignments().get(hostId)?.pool ?? '';
    const known = core.view.getPoolHosts(pool).find(p => p.host.id === hostId);
    return known?.state === state;
  });
}
