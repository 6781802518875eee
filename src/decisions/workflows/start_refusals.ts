/**
 * Hosts that have refused to start tasks of a group although they seemed to
 * have room; times are monotonic, in ms.
 */
export interface StartRefusals {
  /** Records a refused start. */
  record(group: string, hostId: string, now: number): void;
  /** Forgets the refusals of a host that has accepted a start. */
  clear(group: string, hostId: string): void;
  /** Returns whether any host has refused tasks of the group lately. */
  has(group: string): boolean;
  /** Returns whether a host must not be asked to start tasks of the group. */
  isHeld(group: string, hostId: string, now: number): boolean;
}

interface Refusal {
  /** Delay in ms after the last refusals. */
  readonly delayMs: number;
  readonly heldUntil: number;
}

const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 2_000;
/** Maximum number of groups that are remembered. */
const MAX_GROUPS = 1_000;

/**
 * Creates the refusals of a term.
 *
 * A task may need more than its step declares, or other programs may use a
 * host. Without a delay, its tasks would be started and refused as fast as the
 * calls allow.
 */
export function createStartRefusals(): StartRefusals {
  const groups = new Map<string, Map<string, Refusal>>();

  return {
    record(group, hostId, now) {
      let hosts = groups.get(group);
      if (!hosts) {
        hosts = new Map();
        groups.set(group, hosts);
        const [oldest] = groups.keys();
        if (groups.size > MAX_GROUPS) groups.delete(oldest);
      }
      const before = hosts.get(hostId);
      // Starts that were sent together are refused together.
      if (before && now < before.heldUntil) return;
      const delayMs = before
        ? Math.min(MAX_DELAY_MS, before.delayMs * 2)
        : FIRST_DELAY_MS;
      hosts.set(hostId, {delayMs, heldUntil: now + delayMs});
    },
    clear(group, hostId) {
      const hosts = groups.get(group);
      if (hosts?.delete(hostId) && hosts.size === 0) groups.delete(group);
    },
    has: group => groups.has(group),
    isHeld: (group, hostId, now) =>
      now < (groups.get(group)?.get(hostId)?.heldUntil ?? -Infinity),
  };
}
