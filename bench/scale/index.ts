import {Bench} from '../shared';
import {probeJobs} from './jobs';
import {probeFleet} from './fleet';
import {probeClaims} from './claims';
import {probeControl} from './control';
import {probeRequests} from './requests';
import {FittedSlope, ScaleProbe, fitLine} from './slope';

export * from './slope';

/** Probes by area; each measures its own roles and decisions. */
const PROBES: Readonly<Record<string, ScaleProbe>> = {
  jobs: probeJobs,
  fleet: probeFleet,
  claims: probeClaims,
  control: probeControl,
  requests: probeRequests,
};

/** Measures how each role's costs grow, and fits a line to each. */
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
