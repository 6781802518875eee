import {Bench, BenchOptions, Measure} from '../shared';
import {measureBursts} from './bursts';

/** One part of the bench, with a site of its own. */
type Part = (options: BenchOptions) => Promise<readonly Measure[]>;

const PARTS: readonly Part[] = [measureBursts];

/** Measures interactive requests under the brief's demand and faults. */
export const runRequestsBench: Bench = async options => {
  const measures: Measure[] = [];
  for (const part of PARTS) measures.push(...(await part(options)));
  return {bench: 'requests', seed: options.seed, measures};
};
