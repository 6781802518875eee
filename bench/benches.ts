import {runFleetBench} from './fleet';
import {runPathBench} from './path';
import {runScaleBench} from './scale';
import {Bench} from './shared';

/** Every bench by its name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fleet: runFleetBench,
  path: runPathBench,
  scale: runScaleBench,
};
