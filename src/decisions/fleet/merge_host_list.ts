import {Host} from '../../types';

/**
 * The host list, including hosts that have disappeared from it only recently.
 */
export interface MergedHostList {
  readonly hosts: readonly Host[];
  /**
   * Time at which each absent host was first found missing, by host id, in ms
   * since the epoch.
   */
  readonly absentSince: ReadonlyMap<string, number>;
  /** Whether the list that was read lacks too many hosts to be trusted. */
  readonly implausible: boolean;
}

/** Time for which a host must be absent before it is removed, in ms. */
export const ABSENCE_GRACE_MS = 5_000;
/**
 * Fraction of the known hosts whose simultaneous absence makes a list
 * implausible.
 */
const IMPLAUSIBLE_ABSENT_FRACTION = 0.5;
/**
 * Number of hosts that may be absent whatever their fraction, unless all are.
 */
const TOLERATED_ABSENT_HOSTS = 3;

/**
 * Merges a newly read host list into the known one and keeps absent hosts for a
 * grace period.
 *
 * A list that is empty or lacks half of the known hosts at once is considered
 * stale or broken. Its data on present hosts is used, but absent hosts are
 * kept, and the probes decide which of them work.
 *
 * @param known the result of the previous merge; undefined for the first
 * @param read the list that was just read
 * @param now time of the read in ms since the epoch
 */
export function mergeHostList(
  known: MergedHostList | undefined,
  read: readonly Host[],
  now: number,
): MergedHostList {
  const listed = new Set(read.map(host => host.id));
  const absent = (known?.hosts ?? []).filter(host => !listed.has(host.id));
  const implausible = isImplausible(known?.hosts.length ?? 0, absent.length);
  const absentSince = new Map<string, number>();
  const kept: Host[] = [];
  for (const host of absent) {
    const since = known?.absentSince.get(host.id) ?? now;
    if (!implausible && now - since >= ABSENCE_GRACE_MS) continue;
    absentSince.set(host.id, implausible ? now : since);
    kept.push(host);
  }
  const hosts = [...read, ...kept].sort((a, b) => (a.id < b.id ? -1 : 1));
  return {hosts, absentSince, implausible};
}

function isImplausible(known: number, absent: number): boolean {
  if (known === 0 || absent === 0) return false;
  if (absent === known) return true;
  return (
    absent > TOLERATED_ABSENT_HOSTS &&
    absent / known >= IMPLAUSIBLE_ABSENT_FRACTION
  );
}
