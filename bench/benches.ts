import {runControlBench} from './control';
import {runFleetBench} from './fleet';
import {runLongWorkBench} from './long_work';
import {runPathBench} from './path';
import {runRequestsBench} from './requests';
import {runAtMostOnceBench} from './requests/at_most_once';
import {runPlannedStopBench} from './requests/planned_stop';
import {runScaleBench} from './scale';
import {Bench} from './shared';
import {runWorkflowsBench} from './workflows';

/** Benches that `npm run report` runs, by name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  path: runPathBench,
  requests: runRequestsBench,
  'long-work': runLongWorkBench,
  fleet: runFleetBench,
  control: runControlBench,
  scale: runScaleBench,
  workflows: runWorkflowsBench,
};

/** Parts of benches that can be run on their own, by name. */
export const BENCH_PARTS: Readonly<Record<string, Bench>> = {
  'at-most-once': runAtMostOnceBench,
  'planned-stop': runPlannedStopBench,
};
