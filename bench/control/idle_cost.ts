import {delay} from '../../src/state';
import {ProcessSite} from '../shared';
import {readProcessCost} from './process_cost';

/**
 * Cost of the control plane without requests or jobs; for costs of a process,
 * the maximum over all entry hosts.
 */
export interface IdleCost {
  readonly storeCallsPerSecond: number;
  readonly corePercent: number;
  readonly residentMb: number;
  readonly bytesPerSecond: number;
}

/**
 * Measures the cost of the control plane while the site is idle.
 *
 * @param site the site
 * @param seconds duration of the measurement in s
 */
export async function measureIdleCost(
  site: ProcessSite,
  seconds: number,
): Promise<IdleCost> {
  const read = () =>
    site.entries.map(({child}) => readProcessCost(child.process));
  const startedAt = performance.now();
  const before = read();
  const callsBefore = sum(await site.readStoreCalls());
  await delay(seconds * 1_000);
  const after = read();
  const callsAfter = sum(await site.readStoreCalls());
  const elapsedMs = performance.now() - startedAt;
  const maxOverEntries = (valueOf: (index: number) => number) =>
    Math.max(...after.map((_, index) => valueOf(index)));
  return {
    storeCallsPerSecond: ((callsAfter - callsBefore) / elapsedMs) * 1_000,
    corePercent: maxOverEntries(
      i => ((after[i].processorMs - before[i].processorMs) / elapsedMs) * 100,
    ),
    residentMb: maxOverEntries(i => after[i].residentMb),
    bytesPerSecond: maxOverEntries(
      i => ((after[i].bytes - before[i].bytes) / elapsedMs) * 1_000,
    ),
  };
}

function sum(calls: Readonly<Record<string, number>>): number {
  return Object.values(calls).reduce((total, count) => total + count, 0);
}
