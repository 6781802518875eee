import {runControlBench} from './control';
import {runPathBench} from './path';
import {runRequestsBench} from './requests';
import {runAtMostOnceBench} from './requests/at_most_once';
import {runPlannedStopBench} from './requests/planned_stop';
import {runScaleBench} from './scale';
import {Bench} from './shared';

/** Every bench by its name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  control: runControlBench,
  'at-most-once': runAtMostOnceBench,
  path: runPathBench,
  'planned-stop': runPlannedStopBench,
  requests: runRequestsBench,
  scale: runScaleBench,
};
