import {Bench, BenchOptions, Measure} from '../shared';
import {measureAtMostOnce} from './at_most_once';
import {measureBursts} from './bursts';
import {measurePlannedStop} from './planned_stop';

/** One part of the bench, with a site of its own. */
type Part = (options: BenchOptions) => Promise<readonly Measure[]>;

const PARTS: readonly Part[] = [
  measureBursts,
  measureAtMostOnce,
  measurePlannedStop,
];

/** Measures interactive requests under the brief's demand and faults. */
export const runRequestsBench: Bench = async options => {
  const measures = new Map<string, Measure>();
  for (const part of PARTS) {
    const startedAt = performance.now();
    for (const measure of await part(options)) addWorst(measures, measure);
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    options.progress(`${part.name} took ${seconds} s`);
  }
  const {seed} = options;
  return {bench: 'requests', seed, measures: [...measures.values()]};
};

/** Of a measure that several parts give, keeps one that doesn't hold. */
function addWorst(measures: Map<string, Measure>, measure: Measure): void {
  const known = measures.get(measure.name);
  if (!known || known.holds) measures.set(measure.name, measure);
}
