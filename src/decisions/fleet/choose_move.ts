import {
  Host,
  HostAssignment,
  HostState,
  PoolRecord,
  Profile,
} from '../../types';

/** Profile, ledger and hosts of one pool. */
export interface PoolCapacity {
  readonly profile: Profile;
  readonly record: PoolRecord;
  readonly assignments: readonly HostAssignment[];
}

/** Inputs of the choice of a move out of a pool. */
export interface MoveInputs {
  /** Current time in ms since the epoch. */
  readonly now: number;
  /** The pool whose leader decides. */
  readonly donor: PoolCapacity;
  readonly others: readonly PoolCapacity[];
  /** Time at which the current profiles took effect, in ms since the epoch. */
  readonly configuredAt: number;
  /** The donor's hosts that may be moved, by id. */
  readonly hosts: ReadonlyMap<string, Host>;
}

/** A host to move to another pool. */
export interface Move {
  readonly hostId: string;
  readonly to: string;
  readonly cause: string;
}

/** Duration of a shortage before hosts are moved to meet it, in ms. */
export const MIN_SHORTAGE_MS = 600_000;
/**
 * Time without a move into the pool before a surplus host is returned, in ms.
 */
export const MIN_SURPLUS_MS = 21_600_000;
const DAY_MS = 86_400_000;
/** Maximum number of moves into or out of a pool within a day. */
const MOVES_PER_DAY = 2;

const LOST_STATES: readonly HostState[] = [
  HostState.Failed,
  HostState.Missing,
  HostState.Leaving,
  HostState.Quarantined,
];

/**
 * Chooses at most one move out of a pool in response to a sustained shortage or
 * surplus.
 *
 * The spare pool lends a host to the pool with the greatest shortage. Any other
 * pool returns a surplus host to the spare pool. The choice depends on host
 * counts only and not on load, so that bursts cause no moves.
 *
 * @param inputs every pool's capacity and the donor's hosts
 */
export function chooseMove(inputs: MoveInputs): Move | undefined {
  const {donor} = inputs;
  if (donor.record.unavailable.some(e => e.state === HostState.Moving)) {
    return undefined;
  }
  const left = donor.profile.maxUnavailable - donor.record.unavailable.length;
  if (left <= 0 || countMoves(inputs, donor) >= MOVES_PER_DAY) return undefined;
  return donor.profile.spare ? lendHost(inputs) : returnHost(inputs);
}

function lendHost(inputs: MoveInputs): Move | undefined {
  const {donor} = inputs;
  const floor = donor.profile.hosts - donor.profile.maxUnavailable;
  if (countHealthy(donor, inputs.now) <= floor) return undefined;
  let best: PoolCapacity | undefined;
  let maxShortage = 0;
  for (const pool of inputs.others) {
    if (pool.profile.spare) continue;
    if (countMoves(inputs, pool) >= MOVES_PER_DAY) continue;
    const shortage = countShortage(inputs, pool);
    if (shortage <= maxShortage) continue;
    best = pool;
    maxShortage = shortage;
  }
  const hostId = best && chooseHost(inputs, best);
  if (!best || !hostId) return undefined;
  const to = best.profile.pool;
  const cause = `${to} has lacked ${maxShortage} hosts for ${MIN_SHORTAGE_MS} ms`;
  return {hostId, to, cause};
}

function returnHost(inputs: MoveInputs): Move | undefined {
  const {donor, now} = inputs;
  const spare = inputs.others.find(pool => pool.profile.spare);
  if (!spare) return undefined;
  const surplus = donor.assignments.length - donor.profile.hosts;
  if (surplus <= 0 || donor.record.unavailable.length >= surplus) {
    return undefined;
  }
  if (spare.assignments.length >= spare.profile.hosts) return undefined;
  const lastMove = Math.max(...donor.assignments.map(a => a.movedAt ?? 0));
  if (now - lastMove < MIN_SURPLUS_MS) return undefined;
  const hostId = chooseHost(inputs, spare);
  if (!hostId) return undefined;
  const to = spare.profile.pool;
  return {hostId, to, cause: `${surplus} hosts more than needed go to ${to}`};
}

/**
 * Counts the hosts that a pool has lacked for long enough, without those
 * already moving to it.
 */
function countShortage(inputs: MoveInputs, pool: PoolCapacity): number {
  const {now, donor} = inputs;
  const configured = now - inputs.configuredAt >= MIN_SHORTAGE_MS;
  if (!configured) return 0;
  const incoming = [donor, ...inputs.others]
    .flatMap(known => known.record.unavailable)
    .filter(entry => entry.movesTo === pool.profile.pool).length;
  return pool.profile.hosts - countHealthy(pool, now) - incoming;
}

function countHealthy(pool: PoolCapacity, now: number): number {
  const lost = pool.record.unavailable.filter(
    entry =>
      LOST_STATES.includes(entry.state) && now - entry.since >= MIN_SHORTAGE_MS,
  );
  return pool.assignments.length - lost.length;
}

function countMoves(inputs: MoveInputs, pool: PoolCapacity): number {
  const {pool: name} = pool.profile;
  const all = [inputs.donor, ...inputs.others].flatMap(p => p.assignments);
  return all.filter(
    ({movedAt = 0, movedFrom, pool: movedTo}) =>
      inputs.now - movedAt < DAY_MS && (movedFrom === name || movedTo === name),
  ).length;
}

/**
 * Returns a free host of the donor; hosts that came from the receiver come
 * first, then the lowest id.
 */
function chooseHost(
  inputs: MoveInputs,
  receiver: PoolCapacity,
): string | undefined {
  const taken = new Set(inputs.donor.record.unavailable.map(e => e.hostId));
  const free = inputs.donor.assignments.filter(
    ({hostId}) => inputs.hosts.has(hostId) && !taken.has(hostId),
  );
  const rank = (assignment: HostAssignment) =>
    assignment.movedFrom === receiver.profile.pool ? 0 : 1;
  const sorted = [...free].sort(
    (a, b) => rank(a) - rank(b) || a.hostId.localeCompare(b.hostId),
  );
  return sorted[0]?.hostId;
}
