import {Bench, BenchOptions, Measure} from '../shared';
import {measureAtMostOnce} from './at_most_once';
import {measureBursts} from './bursts';
import {measurePlannedStop} from './planned_stop';

/** A part of the bench, which runs on a site of its own. */
type Part = (options: BenchOptions) => Promise<readonly Measure[]>;

const PARTS: readonly Part[] = [
  measureBursts,
  measureAtMostOnce,
  measurePlannedStop,
];

/**
 * Measures interactive requests under bursts of demand, faults and planned
 * stops.
 */
export const runRequestsBench: Bench = async options => {
  const measures = new Map<string, Measure>();
  for (const part of PARTS) {
    const startedAt = performance.now();
    for (const measure of await part(options)) mergeMeasure(measures, measure);
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    options.progress(`${part.name} took ${seconds} s`);
  }
  const {seed} = options;
  return {bench: 'requests', seed, measures: [...measures.values()]};
};

/**
 * Adds a measure; if several parts report the same measure, one that does not
 * hold is kept.
 */
function mergeMeasure(measures: Map<string, Measure>, measure: Measure): void {
  const existing = measures.get(measure.name);
  if (!existing || existing.holds) measures.set(measure.name, measure);
}
