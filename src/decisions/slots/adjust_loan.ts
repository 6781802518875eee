/** Slots of one worker that may be lent to a borrower. */
export interface LendableHost {
  readonly hostId: string;
  /** Number of slots that the borrower holds. */
  readonly held: number;
  /** Number of slots that the borrower uses now. */
  readonly used: number;
  /** Number of slots that no borrower holds. */
  readonly free: number;
}

/**
 * Adjusts a loan towards its target with as few changes as possible.
 *
 * A growing loan takes free slots only, from the workers with the most free
 * slots. A shrinking loan returns idle slots first; a returned slot that is
 * still in use becomes free when its request ends.
 *
 * @param target total number of slots that the borrower should hold
 * @param hosts workers whose slots may be lent
 * @returns number of slots lent on each worker, by host id
 */
export function adjustLoan(
  target: number,
  hosts: readonly LendableHost[],
): ReadonlyMap<string, number> {
  const slots = new Map(hosts.map(host => [host.hostId, host.held]));
  let total = hosts.reduce((sum, host) => sum + host.held, 0);
  while (total > target) {
    const host = pickMax(hosts, h => getIdle(h, slots));
    if (!host) break;
    slots.set(host.hostId, getSlots(host, slots) - 1);
    total -= 1;
  }
  while (total < target) {
    const host = pickMax(hosts, h => getFree(h, slots));
    if (!host || getFree(host, slots) <= 0) break;
    slots.set(host.hostId, getSlots(host, slots) + 1);
    total += 1;
  }
  return slots;
}

function getSlots(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  return slots.get(host.hostId) ?? 0;
}

/**
 * Returns the number of idle slots in a loan; negative once slots in use have
 * been returned.
 */
function getIdle(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  const lent = getSlots(host, slots);
  return lent > 0 ? lent - host.used : Number.NEGATIVE_INFINITY;
}

function getFree(
  host: LendableHost,
  slots: ReadonlyMap<string, number>,
): number {
  return host.free + host.held - getSlots(host, slots);
}

function pickMax(
  hosts: readonly LendableHost[],
  measure: (host: LendableHost) => number,
): LendableHost | undefined {
  let best: LendableHost | undefined;
  let maximum = Number.NEGATIVE_INFINITY;
  for (const host of hosts) {
    const value = measure(host);
    if (value <= maximum) continue;
    best = host;
    maximum = value;
  }
  return best;
}
