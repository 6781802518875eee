/** One worker as a loan's adjustment sees it. */
export interface LendableHost {
  readonly hostId: string;
  /** Slots that this borrower holds. */
  readonly held: number;
  /** Slots that this borrower uses now. */
  readonly used: number;
  /** Slots that nobody holds. */
  readonly free: number;
}

/**
 * Moves a loan towards its target with as few changes as possible.
 *
 * Growth takes free slots only, from the workers with the most of them.
 * Shrinking gives idle slots back first; a slot in use that is given back ends
 * with its request.
 *
 * @param target slots that the borrower should hold in all
 * @param hosts workers that may be lent
 * @returns slots of each worker by host id
 */
export function adjustLoan(
  target: number,
  hosts: readonly LendableHost[],
): ReadonlyMap<string, number> {
  const slots = new Map(hosts.map(host => [host.hostId, host.held]));
  let total = hosts.reduce((sum, host) => sum + host.held, 0);
  while (total > target) {
    const host = pickMost(hosts, h => idleOf(h, slots));
    if (!host) break;
    slots.set(host.hostId, slotsOf(host, slots) - 1);
    total -= 1;
  }
  while (total < target) {
    const host = pickMost(hosts, h => freeOf(h, slots));
    if (!host || freeOf(host, slots) <= 0) break;
    slots.set(host.hostId, slotsOf(host, slots) + 1);
    total += 1;
  }
  return slots;
}

function slotsOf(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  return slots.get(host.hostId) ?? 0;
}

/** Returns the slots that are left idle; below zero once slots in use are given back. */
function idleOf(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  const lent = slotsOf(host, slots);
  return lent > 0 ? lent - host.used : Number.NEGATIVE_INFINITY;
}

function freeOf(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  return host.free + host.held - slotsOf(host, slots);
}

function pickMost(
  hosts: readonly LendableHost[],
  measure: (host: LendableHost) => number,
): LendableHost | undefined {
  let best: LendableHost | undefined;
  let most = Number.NEGATIVE_INFINITY;
  for (const host of hosts) {
    const value = measure(host);
    if (value <= most) continue;
    best = host;
    most = value;
  }
  return best;
}
