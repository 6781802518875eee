import {Finding, Host, JobSize} from '../../types';

/** Resource dimensions that job sizes and hosts have in common. */
const DIMENSIONS = ['slots', 'processors', 'memoryMb', 'accelerators'] as const;

/**
 * Returns all reasons why no host of a pool could ever run a job.
 *
 * @param size resources that the job needs
 * @param hosts the pool's hosts in any state; an empty list counts as unknown
 */
export function checkSatisfiable(
  size: JobSize,
  hosts: readonly Host[],
): readonly Finding[] {
  if (hosts.length === 0) return [];
  const findings = DIMENSIONS.flatMap(dimension => {
    const maximum = Math.max(...hosts.map(host => host[dimension]));
    if (size[dimension] <= maximum) return [];
    return [
      {
        place: `size.${dimension}`,
        message: `${size[dimension]} is more than any host has (${maximum})`,
      },
    ];
  });
  if (findings.length > 0 || hosts.some(host => fits(size, host))) {
    return findings;
  }
  return [{place: 'size', message: 'no single host has all of it'}];
}

function fits(size: JobSize, host: Host): boolean {
  return DIMENSIONS.every(dimension => size[dimension] <= host[dimension]);
}
