import {Host, HostAssignment, Selector, SelectorKind} from '../../types';

/**
 * Returns the hosts that match a selector.
 *
 * @param selector selector declared by the operator
 * @param hosts the host list
 * @param assignments assignments by host id
 * @returns ids of the hosts, sorted
 */
export function selectHosts(
  selector: Selector,
  hosts: readonly Host[],
  assignments: ReadonlyMap<string, HostAssignment>,
): readonly string[] {
  const getPool = (host: Host) =>
    assignments.get(host.id)?.pool ?? host.initialPool;
  return hosts
    .filter(host => matches(selector, host, getPool(host)))
    .map(host => host.id)
    .sort();
}

function matches(selector: Selector, host: Host, pool: string): boolean {
  switch (selector.kind) {
    case SelectorKind.All:
      return true;
    case SelectorKind.Pool:
      return pool === selector.name;
    case SelectorKind.Rack:
      return host.rack === selector.name;
    case SelectorKind.AvailabilityZone:
      return host.availabilityZone === selector.name;
    case SelectorKind.Host:
      return host.id === selector.name;
  }
}
