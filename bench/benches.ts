import {runControlBench} from './control';
import {runPathBench} from './path';
import {runScaleBench} from './scale';
import {Bench} from './shared';

/** Every bench by its name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  control: runControlBench,
  path: runPathBench,
  scale: runScaleBench,
};
