import {delay} from '../../src/state';
import {ProcessSite} from '../shared';
import {readProcessCost} from './process_cost';

/** Cost of control while nothing is asked of the site, the highest of all entry hosts. */
export interface RestCost {
  readonly storeCallsPerSecond: number;
  readonly corePercent: number;
  readonly residentMb: number;
  readonly bytesPerSecond: number;
}

/**
 * Measures the cost of control at rest.
 *
 * @param site the site
 * @param seconds length of the measurement
 */
export async function measureRest(
  site: ProcessSite,
  seconds: number,
): Promise<RestCost> {
  const read = () =>
    site.entries.map(({child}) => readProcessCost(child.process));
  const startedAt = performance.now();
  const before = read();
  const callsBefore = sum(await site.readStoreCalls());
  await delay(seconds * 1_000);
  const after = read();
  const callsAfter = sum(await site.readStoreCalls());
  const passedMs = performance.now() - startedAt;
  const highest = (of: (index: number) => number) =>
    Math.max(...after.map((_, index) => of(index)));
  return {
    storeCallsPerSecond: ((callsAfter - callsBefore) / passedMs) * 1_000,
    corePercent: highest(
      i => ((after[i].processorMs - before[i].processorMs) / passedMs) * 100,
    ),
    residentMb: highest(i => after[i].residentMb),
    bytesPerSecond: highest(
      i => ((after[i].bytes - before[i].bytes) / passedMs) * 1_000,
    ),
  };
}

function sum(calls: Readonly<Record<string, number>>): number {
  return Object.values(calls).reduce((total, count) => total + count, 0);
}
