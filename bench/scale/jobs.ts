import {createEstimates, planPlacements} from '../../src/decisions/jobs';
import {Store, Workers} from '../../src/ports';
import {createHost, findSite} from '../../src/stand_ins/site';
import {delay} from '../../src/state';
import {Host, Job, JobState} from '../../src/types';
import {JobPool, POOL_NAME, createJobPool} from '../../features/jobs/job_pool';
import {ScaleProbe, Slope} from './slope';

const WORKER_COUNTS = [225, 450, 900, 1_800, 3_600] as const;
const JOB_COUNTS = [40, 80, 160, 320] as const;
const BUSY_WORKER_COUNTS = [2, 4, 8, 16] as const;
const SLOTS_PER_WORKER = 8;
const ROUNDS = 5;
const PLACEMENTS_PER_ROUND = 64;
const MEASUREMENT_MS = 6_000;
const QUICK_MEASUREMENT_MS = 3_000;
const POLL_MS = 50;
const SITE = findSite('orbitica');

/**
 * Measures a leader's placement round, its store writes and its calls to
 * workers.
 */
export const probeJobs: ScaleProbe = async quick => [
  measurePlacementRounds(),
  ...(await measureStoreWrites()),
  await measureReportTraffic(quick ? QUICK_MEASUREMENT_MS : MEASUREMENT_MS),
];

/**
 * Measures one placement round with as many waiting jobs as the pool has slots.
 */
function measurePlacementRounds(): Slope {
  const points = WORKER_COUNTS.map(workers => {
    const hosts = createHosts(workers);
    const waiting = Array.from({length: workers * SLOTS_PER_WORKER}, (_, i) =>
      createWaitingJob(i),
    );
    const estimates = createEstimates();
    let fastestMs = Infinity;
    for (let round = 0; round < ROUNDS; round += 1) {
      const startedAt = performance.now();
      planPlacements({
        now: 0,
        waiting,
        rooms: hosts.map(host => ({...host, host, avoided: false})),
        estimate: estimates.estimate,
        teamSlots: new Map(),
        teamQuotas: {},
        totalSlots: workers * SLOTS_PER_WORKER,
        placeable: Infinity,
        limit: PLACEMENTS_PER_ROUND,
      });
      fastestMs = Math.min(fastestMs, performance.now() - startedAt);
    }
    return {x: workers, y: fastestMs};
  });
  return {
    role: 'leader placement round of 64 jobs, full backlog',
    axis: 'workers',
    cost: 'ms per round',
    points,
  };
}

/** Counts store writes and bytes per job, from its submission to its end. */
async function measureStoreWrites(): Promise<readonly Slope[]> {
  const calls: {x: number; y: number}[] = [];
  const bytes: {x: number; y: number}[] = [];
  for (const jobs of JOB_COUNTS) {
    const pool = createJobPool({workers: 8, slots: SLOTS_PER_WORKER});
    let writes = 0;
    let byteCount = 0;
    const countWrites = (store: Store): Store => ({
      ...store,
      swap: swap => {
        writes += 1;
        byteCount += swap.value?.length ?? 0;
        return store.swap(swap);
      },
    });
    pool.addLeader({store: countWrites(pool.store)});
    await runJobs(pool, jobs, 200);
    pool.dispose();
    calls.push({x: jobs, y: writes / jobs});
    bytes.push({x: jobs, y: byteCount / jobs});
  }
  const role = 'leader, life of a job after its submission';
  return [
    {role, axis: 'jobs', cost: 'store writes per job', points: calls},
    {role, axis: 'jobs', cost: 'bytes written per job', points: bytes},
  ];
}

/**
 * Counts the bytes of reports between a leader and workers whose slots are all
 * busy.
 */
async function measureReportTraffic(measurementMs: number): Promise<Slope> {
  const points: {x: number; y: number}[] = [];
  for (const workers of BUSY_WORKER_COUNTS) {
    const pool = createJobPool({workers, slots: SLOTS_PER_WORKER});
    let bytes = 0;
    const countBytes = (inner: Workers): Workers => ({
      ...inner,
      report: async (host, fence) => {
        const answer = await inner.report(host, fence);
        bytes += JSON.stringify(fence ?? '').length;
        bytes += JSON.stringify(answer.isOk ? answer.value : '').length;
        return answer;
      },
    });
    pool.addLeader({wrapWorkers: countBytes});
    await submitJobs(pool, workers * SLOTS_PER_WORKER, 600_000);
    await delay(measurementMs);
    bytes = 0;
    await delay(measurementMs);
    points.push({x: workers, y: bytes / (measurementMs / 1_000)});
    pool.dispose();
  }
  return {
    role: 'leader, calls to workers that long work fills',
    axis: 'workers',
    cost: 'bytes per s, bodies only',
    points,
  };
}

async function runJobs(
  pool: JobPool,
  jobs: number,
  workMs: number,
): Promise<void> {
  await submitJobs(pool, jobs, workMs);
  while (!pool.readJobs().every(({state}) => state === JobState.Done)) {
    await delay(POLL_MS);
  }
}

async function submitJobs(
  pool: JobPool,
  jobs: number,
  workMs: number,
): Promise<void> {
  for (let i = 0; i < jobs; i += 1) {
    await pool.api.submit({
      service: POOL_NAME,
      team: '',
      idempotent: true,
      size: createWaitingJob(i).size,
      runTimeMs: workMs,
      dueAt: Date.now() + 3_600_000,
      input: `work-ms=${workMs}`,
    });
  }
}

function createHosts(count: number): readonly Host[] {
  return Array.from({length: count}, (_, i) =>
    createHost(SITE, SITE.pools[0], i, '127.0.0.1', 0),
  );
}

function createWaitingJob(i: number): Job {
  return {
    id: `job-${i}`,
    operationId: '',
    term: 0,
    service: POOL_NAME,
    pool: POOL_NAME,
    team: `team-${i % 62}`,
    state: JobState.Waiting,
    idempotent: true,
    size: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
    runTimeMs: 60_000,
    submittedAt: i,
    dueAt: 1_000_000 + ((i * 7_919) % 1_000_000),
    input: '',
    attempts: [],
    cause: '',
  };
}
