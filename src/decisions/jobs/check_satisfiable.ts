import {Finding, Host, JobSize} from '../../types';

/** Dimensions of a size that a host has too, with the place to report. */
const DIMENSIONS = ['slots', 'processors', 'memoryMb', 'accelerators'] as const;

/**
 * Finds every reason why no host of a pool could ever run a job.
 *
 * @param size what the job takes
 * @param hosts the pool's hosts, whatever their state; none means unknown
 */
export function checkSatisfiable(
  size: JobSize,
  hosts: readonly Host[],
): readonly Finding[] {
  if (hosts.length === 0) return [];
  const findings = DIMENSIONS.flatMap(dimension => {
    const most = Math.max(...hosts.map(host => host[dimension]));
    if (size[dimension] <= most) return [];
    return [
      {
        place: `size.${dimension}`,
        message: `${size[dimension]} is more than any host has (${most})`,
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
