import {Result} from 'true-myth';
import {explainHost, findRotationTime} from '../../decisions/fleet';
import {Store} from '../../ports';
import {WriteOutcome} from '../../state';
import {
  Host,
  HostAssignment,
  HostState,
  Profile,
  RefusalReason,
  Unavailability,
} from '../../types';
import {createAssignmentStore} from './assignment_store';
import {FleetView} from './fleet_view';

/** A host, its state and the reasons for that state. */
export interface HostExplanation {
  readonly id: string;
  readonly state: HostState;
  readonly host?: Host;
  readonly assignment?: HostAssignment;
  readonly unavailability?: Unavailability;
  /** Time of the next planned maintenance rotation, in ms since the epoch. */
  readonly rotationAt?: number;
  readonly explanation: readonly string[];
}

/** Operator calls about single hosts; every entry host can serve them. */
export interface HostCalls {
  /** Returns a host with the reasons for its state. */
  show(hostId: string): Result<HostExplanation, RefusalReason>;
  /**
   * Marks a quarantined host as released; its pool's leader then returns it to
   * service.
   */
  release(hostId: string): Promise<Result<HostAssignment, RefusalReason>>;
}

/**
 * Creates the operator calls about hosts.
 *
 * @param store the key-value service
 * @param view this member's view of the fleet
 * @param memberId id of this member
 * @param getProfiles returns the active profiles
 */
export function createHostCalls(
  store: Store,
  view: FleetView,
  memberId: string,
  getProfiles: () => readonly Profile[],
): HostCalls {
  const assignments = createAssignmentStore(store, view, memberId);

  function show(hostId: string): Result<HostExplanation, RefusalReason> {
    const host = view.hosts.get()?.find(known => known.id === hostId);
    const assignment = view.getAssignments().get(hostId);
    if (!host && !assignment) return Result.err(RefusalReason.NotFound);
    const pool = assignment?.pool ?? '';
    const profile = getProfiles().find(known => known.pool === pool);
    const record = view.getRecord(pool);
    const unavailability = record?.unavailable.find(e => e.hostId === hostId);
    return Result.ok({
      id: hostId,
      state: unavailability?.state ?? HostState.Active,
      host,
      assignment,
      unavailability,
      rotationAt:
        assignment && profile && findRotationTime(assignment, profile),
      explanation: explainHost({
        now: Date.now(),
        hostId,
        assignment,
        profile,
        record,
        waves: view.listWaves(),
      }),
    });
  }

  return {
    show,
    async release(hostId) {
      if (!view.getAssignments().has(hostId)) {
        return Result.err(RefusalReason.NotFound);
      }
      const releasedAt = Date.now();
      switch (await assignments.change(hostId, {releasedAt})) {
        case WriteOutcome.Written: {
          const assignment = view.getAssignments().get(hostId);
          if (!assignment) return Result.err(RefusalReason.NotFound);
          return Result.ok(assignment);
        }
        case WriteOutcome.Conflict:
          return Result.err(RefusalReason.Conflict);
        case WriteOutcome.Unavailable:
          return Result.err(RefusalReason.StoreUnavailable);
        case WriteOutcome.Unknown:
          return Result.err(RefusalReason.OutcomeUnknown);
      }
    },
  };
}
