import prand from 'pure-rand';

/** Job of the simulated trace; times are in s, memory is in MB. */
export interface TraceJob {
  readonly id: string;
  readonly team: string;
  readonly submittedAt: number;
  readonly dueAt: number;
  readonly runTime: number;
  readonly declaredRunTime: number;
  readonly memoryMb: number;
  readonly declaredMemoryMb: number;
}

/** Ratio of declared to true run time and memory, by team. */
const TEAM_BIAS: Readonly<Record<string, number>> = {
  orbits: 0.3,
  thermal: 0.5,
  verdicts: 1,
  reports: 2.5,
};

/**
 * Creates a seeded generator of random numbers from 0 up to, but not including,
 * 1.
 */
export function createRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  return () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

/**
 * Creates a trace in which most teams declare wrong run times and memory sizes.
 *
 * @param count number of jobs
 * @param seed seed of the random numbers
 * @param meanIntervalS mean interval between submissions in s
 */
export function createTrace(
  count: number,
  seed: number,
  meanIntervalS: number,
): readonly TraceJob[] {
  const random = createRandom(seed);
  const teams = Object.keys(TEAM_BIAS);
  const jobs: TraceJob[] = [];
  let nowS = 0;
  for (let i = 0; i < count; i += 1) {
    nowS += -Math.log(1 - random()) * meanIntervalS;
    const team = teams[Math.floor(random() * teams.length)];
    const runTime = 20 + 400 * random() ** 3;
    const memoryMb = 1_500 + 4_000 * random();
    const bias = TEAM_BIAS[team] * (0.9 + 0.2 * random());
    jobs.push({
      id: `job-${i}`,
      team,
      submittedAt: nowS,
      dueAt: nowS + runTime * (1.2 + 4 * random()) + 20,
      runTime,
      declaredRunTime: runTime * bias,
      memoryMb,
      declaredMemoryMb: memoryMb * bias,
    });
  }
  return jobs;
}
