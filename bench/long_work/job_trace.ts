import prand from 'pure-rand';

/** A job of the simulated trace; times in s, memory in MB. */
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

/** Each team's declared values as a factor of the true ones. */
const TEAM_BIAS: Readonly<Record<string, number>> = {
  orbits: 0.3,
  thermal: 0.5,
  verdicts: 1,
  reports: 2.5,
};

/** Creates the random numbers of a seed, between 0 and 1. */
export function createRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  const range = 2 ** 31;
  return () =>
    prand.unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

/**
 * Creates a trace whose declared sizes and run times are far off.
 *
 * @param count jobs
 * @param seed start of the random numbers
 * @param gap mean time between submissions in s
 */
export function createTrace(
  count: number,
  seed: number,
  gap: number,
): readonly TraceJob[] {
  const random = createRandom(seed);
  const teams = Object.keys(TEAM_BIAS);
  const jobs: TraceJob[] = [];
  let now = 0;
  for (let i = 0; i < count; i += 1) {
    now += -Math.log(1 - random()) * gap;
    const team = teams[Math.floor(random() * teams.length)];
    const runTime = 20 + 400 * random() ** 3;
    const memoryMb = 1_500 + 4_000 * random();
    const bias = TEAM_BIAS[team] * (0.9 + 0.2 * random());
    jobs.push({
      id: `job-${i}`,
      team,
      submittedAt: now,
      dueAt: now + runTime * (1.2 + 4 * random()) + 20,
      runTime,
      declaredRunTime: runTime * bias,
      memoryMb,
      declaredMemoryMb: memoryMb * bias,
    });
  }
  return jobs;
}
