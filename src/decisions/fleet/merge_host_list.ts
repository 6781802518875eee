import {Host} from '../../types';

/** The host list with the hosts that vanished from it a moment ago. */
export interface MergedHostList {
  readonly hosts: readonly Host[];
  /** Time at which each absent host was first missed, in ms since the epoch. */
  readonly absentSince: ReadonlyMap<string, number>;
  /** True if the list lacks so many hosts that it isn't believed. */
  readonly implausible: boolean;
}

/** Length of an absence before a host counts as gone, in ms. */
export const ABSENCE_MS = 5_000;
/** Share of the known hosts whose absence at once isn't believed. */
const IMPLAUSIBLE_SHARE = 0.5;
const FEW_HOSTS = 3;

/**
 * Takes a newly read host list over, with patience for hosts that it lacks.
 *
 * A list that is empty or lacks half of the known hosts at once is taken as
 * stale or broken: its news of present hosts counts, its absences don't. The
 * probes then decide which hosts work.
 *
 * @param known the result of the read before; undefined for the first
 * @param read the list as read now
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
    if (!implausible && now - since >= ABSENCE_MS) continue;
    absentSince.set(host.id, implausible ? now : since);
    kept.push(host);
  }
  const hosts = [...read, ...kept].sort((a, b) => (a.id < b.id ? -1 : 1));
  return {hosts, absentSince, implausible};
}

function isImplausible(known: number, absent: number): boolean {
  if (known === 0 || absent === 0) return false;
  if (absent === known) return true;
  return absent > FEW_HOSTS && absent / known >= IMPLAUSIBLE_SHARE;
}
