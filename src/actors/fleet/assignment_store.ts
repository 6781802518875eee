import {Store} from '../../ports';
import {MirrorEntry, WriteOutcome, write} from '../../state';
import {Host, HostAssignment} from '../../types';
import {FleetView} from './fleet_view';

/** Swaps the assignments of hosts, each under its version. */
export interface AssignmentStore {
  /** Assigns a host that has none to its first pool. */
  adopt(host: Host, pool: string): Promise<WriteOutcome>;
  /** Changes an assignment as last seen. */
  change(
    hostId: string,
    fields: Partial<HostAssignment>,
  ): Promise<WriteOutcome>;
  /** Deletes the assignment of a host that has left for good. */
  retire(hostId: string): Promise<WriteOutcome>;
}

/**
 * Creates the writer of assignments.
 *
 * A host's pool is this one value, so a host is in exactly one pool whatever
 * races, and every write differs by its operation id.
 *
 * @param store the key-value service
 * @param view gives the assignments and takes own writes over
 * @param writer names the writer within operation ids
 */
export function createAssignmentStore(
  store: Store,
  view: FleetView,
  writer: string,
): AssignmentStore {
  let operations = 0;

  function find(hostId: string): MirrorEntry<HostAssignment> | undefined {
    return view.assignments.entries.get().get(keyOf(hostId));
  }

  async function save(
    assignment: HostAssignment,
    expectedVersion: number,
  ): Promise<WriteOutcome> {
    operations += 1;
    const operationId = `${writer}#${operations}#${Date.now()}`;
    const value: HostAssignment = {...assignment, operationId};
    const key = keyOf(assignment.hostId);
    const written = await write(store, {
      key,
      expectedVersion,
      value: JSON.stringify(value),
    });
    if (written.outcome === WriteOutcome.Written) {
      view.assignments.applyWrite(key, written.version, value);
    }
    return written.outcome;
  }

  return {
    adopt: (host, pool) =>
      save(
        {
          hostId: host.id,
          pool,
          lastMaintainedAt: 0,
          completedWaves: [],
          adoptedAt: Date.now(),
        },
        0,
      ),
    async change(hostId, fields) {
      const known = find(hostId);
      if (!known) return WriteOutcome.Conflict;
      return save({...known.value, ...fields}, known.version);
    },
    async retire(hostId) {
      const known = find(hostId);
      if (!known) return WriteOutcome.Conflict;
      const written = await write(store, {
        key: known.key,
        expectedVersion: known.version,
        value: undefined,
      });
      if (written.outcome === WriteOutcome.Written) {
        view.assignments.applyWrite(known.key, known.version + 1, undefined);
      }
      return written.outcome;
    },
  };
}

function keyOf(hostId: string): string {
  return `hosts/${hostId}`;
}
