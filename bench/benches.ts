import {runLongWorkBench} from './long_work';
import {runPathBench} from './path';
import {runScaleBench} from './scale';
import {Bench} from './shared';

/** Every bench by its name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  'long-work': runLongWorkBench,
  path: runPathBench,
  scale: runScaleBench,
};
