import {runLongWorkBench} from './long_work';
import {runControlBench} from './control';
import {runFleetBench} from './fleet';
import {runPathBench} from './path';
import {runRequestsBench} from './requests';
import {runAtMostOnceBench} from './requests/at_most_once';
import {runPlannedStopBench} from './requests/planned_stop';
import {runScaleBench} from './scale';
import {Bench} from './shared';

/** Every bench by its name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  'long-work': runLongWorkBench,
  control: runControlBench,
  'at-most-once': runAtMostOnceBench,
  fleet: runFleetBench,
  path: runPathBench,
  'planned-stop': runPlannedStopBench,
  requests: runRequestsBench,
  scale: runScaleBench,
};
