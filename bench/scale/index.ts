import {Bench} from '../shared';
import {probeJobs} from './jobs';
import {probeFleet} from './fleet';
import {probeClaims} from './claims';
import {probeControl} from './control';
import {probeRequests} from './requests';
import {FittedSlope, ScaleProbe, fitLine} from './slope';

export * from './slope';

/** Probes by area. */
const PROBES: Readonly<Record<string, ScaleProbe>> = {
  jobs: probeJobs,
  fleet: probeFleet,
  claims: probeClaims,
  control: probeControl,
  requests: probeRequests,
};

/** Measures how the costs of each area grow and fits a line to every slope. */
export const runScaleBench: Bench = async ({seed, quick, progress}) => {
  const slopes: FittedSlope[] = [];
  for (const [area, probe] of Object.entries(PROBES)) {
    progress(`slopes of ${area}`);
    for (const slope of await probe(quick)) {
      slopes.push({area, ...slope, fit: fitLine(slope.points)});
    }
  }
  return {bench: 'scale', seed, measures: [], details: {slopes}};
};
