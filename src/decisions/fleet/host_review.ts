import {
  DecisionKind,
  Host,
  HostAssignment,
  HostState,
  Unavailability,
} from '../../types';
import {isLeaderDecision} from './budget';
import {Observation, isEmpty, isFailed, isStable} from './observation';

/** Inputs of the review of one host. */
export interface HostInputs {
  readonly hostId: string;
  /** Current time in ms since the epoch. */
  readonly now: number;
  /** The host as listed; undefined if the list no longer contains it. */
  readonly host?: Host;
  readonly assignment: HostAssignment;
  /** The ledger entry of the host; undefined while it is available. */
  readonly entry?: Unavailability;
  readonly observation?: Observation;
  /** Whether a wave or the rotation still requires the host to be drained. */
  readonly drainNeeded: boolean;
  /**
   * Whether the finished maintenance has been recorded in the host's
   * assignment.
   */
  readonly maintenanceRecorded: boolean;
  /** Maximum time for a reboot, in ms. */
  readonly rebootLimitMs: number;
}

/** A change of a host's state. */
export interface HostChange {
  readonly hostId: string;
  readonly kind: DecisionKind;
  readonly cause: string;
  readonly from: HostState;
  /** New ledger entry; undefined returns the host to service. */
  readonly entry?: Unavailability;
}

/**
 * Determines the next state of one host.
 *
 * @param inputs the host list, the probes and the ledger entry
 * @returns the change, or undefined if the state does not change
 */
export function reviewHost(inputs: HostInputs): HostChange | undefined {
  switch (inputs.entry?.state) {
    case undefined:
      return findLoss(inputs);
    case HostState.Draining:
      return findLoss(inputs) ?? reviewDrain(inputs, inputs.entry);
    case HostState.Moving:
      return findLoss(inputs);
    case HostState.Rebooting:
      return reviewReboot(inputs, inputs.entry);
    case HostState.Quarantined:
      return reviewQuarantine(inputs, inputs.entry);
    case HostState.Failed:
    case HostState.Missing:
      return reviewLost(inputs, inputs.entry);
    case HostState.Leaving:
      return reviewLeaving(inputs);
  }
}

function findLoss(inputs: HostInputs): HostChange | undefined {
  const {host, observation, hostId, now} = inputs;
  if (!host) {
    return markLost(inputs, HostState.Missing, 'is gone from the host list');
  }
  if (host.leaving) {
    return markLost(inputs, HostState.Leaving, 'leaves by the host list');
  }
  if (observation?.leaving) {
    return markLost(inputs, HostState.Leaving, 'says that it leaves');
  }
  if (observation && isFailed(observation, now)) {
    const cause = `failed ${observation.failures} probes in a row`;
    return markLost(inputs, HostState.Failed, cause);
  }
  if (hostId !== host.id) throw new Error(`${hostId} is listed as ${host.id}`);
  return undefined;
}

function reviewDrain(
  inputs: HostInputs,
  entry: Unavailability,
): HostChange | undefined {
  const {observation, now} = inputs;
  if (!inputs.drainNeeded)
    return reinstate(inputs, 'no longer needs to be drained');
  if (!observation || !isEmpty(observation, now)) return undefined;
  return {
    hostId: inputs.hostId,
    kind: DecisionKind.Reboot,
    cause: `${inputs.hostId} is empty and reboots`,
    from: entry.state,
    entry: {
      ...entry,
      state: HostState.Rebooting,
      bootNumber: observation.bootNumber,
      rebootAt: now,
    },
  };
}

function reviewReboot(
  inputs: HostInputs,
  entry: Unavailability,
): HostChange | undefined {
  if (hasRebooted(entry, inputs.observation)) {
    if (!inputs.maintenanceRecorded) return undefined;
    return reinstate(inputs, 'is back after maintenance');
  }
  const waitedMs = inputs.now - (entry.rebootAt ?? entry.since);
  if (waitedMs < inputs.rebootLimitMs) return undefined;
  const cause = `did not return from its reboot within ${inputs.rebootLimitMs} ms`;
  return markLost(inputs, HostState.Failed, cause);
}

function reviewQuarantine(
  inputs: HostInputs,
  entry: Unavailability,
): HostChange | undefined {
  const releasedAt = inputs.assignment.releasedAt ?? 0;
  if (releasedAt < entry.since) return undefined;
  return reinstate(inputs, 'was released by an operator');
}

function reviewLost(
  inputs: HostInputs,
  entry: Unavailability,
): HostChange | undefined {
  const {host, observation, now} = inputs;
  if (!host) {
    if (entry.state === HostState.Missing) return undefined;
    return markLost(inputs, HostState.Missing, 'is gone from the host list');
  }
  if (host.leaving || observation?.leaving) {
    return markLost(inputs, HostState.Leaving, 'leaves');
  }
  if (!observation || !isStable(observation, now)) return undefined;
  if (hasRebooted(entry, observation) && !inputs.maintenanceRecorded)
    return undefined;
  return reinstate(inputs, 'responds to probes again');
}

function reviewLeaving(inputs: HostInputs): HostChange | undefined {
  const {host, observation, now} = inputs;
  if (!host || host.leaving || !observation || observation.leaving) {
    return undefined;
  }
  if (!isStable(observation, now)) return undefined;
  return reinstate(inputs, 'is no longer leaving');
}

/**
 * Returns whether a host has come back from the reboot recorded in its ledger
 * entry.
 */
export function hasRebooted(
  entry: Unavailability,
  observation: Observation | undefined,
): boolean {
  if (!observation?.reachable || entry.bootNumber === undefined) return false;
  return observation.bootNumber > entry.bootNumber;
}

function markLost(
  inputs: HostInputs,
  state: HostState.Failed | HostState.Missing | HostState.Leaving,
  reason: string,
): HostChange {
  const {hostId, now, entry} = inputs;
  const cause = `${hostId} ${reason}`;
  return {
    hostId,
    kind: DecisionKind.Eject,
    cause,
    from: entry?.state ?? HostState.Active,
    entry: {
      hostId,
      state,
      since: entry && !isLeaderDecision(entry) ? entry.since : now,
      cause,
      waveId: entry?.waveId,
      bootNumber: entry?.bootNumber,
      rebootAt: entry?.rebootAt,
    },
  };
}

function reinstate(inputs: HostInputs, reason: string): HostChange {
  const {hostId, entry} = inputs;
  return {
    hostId,
    kind: DecisionKind.Return,
    cause: `${hostId} ${reason}`,
    from: entry?.state ?? HostState.Active,
  };
}
