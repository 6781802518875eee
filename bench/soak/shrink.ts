import {Fault} from './fault';

/**
 * Searches the shortest fault list that still fails: halves first, then smaller
 * parts, as long as plays are left.
 *
 * @param faults list that fails
 * @param fails plays a list and resolves to whether it fails
 * @param maxPlays maximum number of plays
 */
export async function shrinkFaults(
  faults: readonly Fault[],
  fails: (faults: readonly Fault[]) => Promise<boolean>,
  maxPlays: number,
): Promise<readonly Fault[]> {
  let shortest = faults;
  let parts = 2;
  let plays = 0;
  while (shortest.length > 1) {
    const size = Math.ceil(shortest.length / parts);
    let found = false;
    for (let from = 0; from < shortest.length && !found; from += size) {
      if (plays >= maxPlays) return shortest;
      plays += 1;
      const rest = shortest.filter((_, at) => at < from || at >= from + size);
      if (!(await fails(rest))) continue;
      shortest = rest;
      found = true;
    }
    if (found) parts = Math.max(2, parts - 1);
    else if (size === 1) return shortest;
    else parts = Math.min(shortest.length, parts * 2);
  }
  return shortest;
}
