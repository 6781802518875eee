import {Store} from '../../ports';
import {MirrorEntry, WriteOutcome, write} from '../../state';
import {Host, HostAssignment} from '../../types';
import {FleetView} from './fleet_view';

/** Writes host assignments with compare-and-swap on their versions. */
export interface AssignmentStore {
  /** Creates the assignment of a host that has none yet. */
  adopt(host: Host, pool: string): Promise<WriteOutcome>;
  /** Changes fields of an assignment, based on the version in the view. */
  change(
    hostId: string,
    fields: Partial<HostAssignment>,
  ): Promise<WriteOutcome>;
  /** Deletes the assignment of a host that has left permanently. */
  retire(hostId: string): Promise<WriteOutcome>;
}

/**
 * Creates a store for host assignments.
 *
 * A host's pool is recorded in its assignment only, so concurrent writers can't
 * put a host into two pools. Each written value carries a unique operation id.
 *
 * @param store the key-value service
 * @param view provides the current assignments and is updated after each write
 * @param writer identifies the writer in operation ids
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
