import {createEstimates, planPlacements} from '../../src/decisions/jobs';
import {Store, Workers} from '../../src/ports';
import {createHost, findSite} from '../../src/stand_ins/site';
import {delay} from '../../src/state';
import {Host, Job, JobState} from '../../src/types';
import {JobPool, POOL, createJobPool} from '../../features/jobs/job_pool';
import {ScaleProbe, Slope} from './slope';

const WORKERS = [225, 450, 900, 1_800, 3_600] as const;
const JOBS = [40, 80, 160, 320] as const;
const BUSY_WORKERS = [2, 4, 8, 16] as const;
const SLOTS = 8;
const ROUNDS = 5;
const ROUND_LIMIT = 64;
const WATCH_MS = 6_000;
const QUICK_WATCH_MS = 3_000;
const POLL_MS = 50;
const SITE = findSite('orbitica');

/** Measures a leader's placement round, its store calls and its worker calls. */
export const probeJobs: ScaleProbe = async quick => [
  measureRounds(),
  ...(await measureStore()),
  await measureControl(quick ? QUICK_WATCH_MS : WATCH_MS),
];

/** Times a round alone, with as many waiting jobs as the pool has slots. */
function measureRounds(): Slope {
  const points = WORKERS.map(workers => {
    const hosts = createHosts(workers);
    const waiting = Array.from({length: workers * SLOTS}, (_, i) =>
      createWaiting(i),
    );
    const estimates = createEstimates();
    let best = Infinity;
    for (let round = 0; round < ROUNDS; round += 1) {
      const startedAt = performance.now();
      planPlacements({
        now: 0,
        waiting,
        rooms: hosts.map(host => ({...host, host, avoided: false})),
        estimate: estimates.estimate,
        teamSlots: new Map(),
        teamQuotas: {},
        totalSlots: workers * SLOTS,
        placeable: Infinity,
        limit: ROUND_LIMIT,
      });
      best = Math.min(best, performance.now() - startedAt);
    }
    return {x: workers, y: best};
  });
  return {
    role: 'leader placement round of 64 jobs, full backlog',
    axis: 'workers',
    cost: 'ms per round',
    points,
  };
}

/** Counts store calls and bytes of jobs from submission to their end. */
async function measureStore(): Promise<readonly Slope[]> {
  const calls: {x: number; y: number}[] = [];
  const bytes: {x: number; y: number}[] = [];
  for (const jobs of JOBS) {
    const pool = createJobPool({workers: 8, slots: SLOTS});
    let writes = 0;
    let length = 0;
    const count = (store: Store): Store => ({
      ...store,
      swap: swap => {
        writes += 1;
        length += swap.value?.length ?? 0;
        return store.swap(swap);
      },
    });
    pool.addLeader({store: count(pool.store)});
    await runJobs(pool, jobs, 200);
    pool.dispose();
    calls.push({x: jobs, y: writes / jobs});
    bytes.push({x: jobs, y: length / jobs});
  }
  const role = 'leader, life of a job after its submission';
  return [
    {role, axis: 'jobs', cost: 'store writes per job', points: calls},
    {role, axis: 'jobs', cost: 'bytes written per job', points: bytes},
  ];
}

/** Counts the bytes between a leader and workers whose slots are all busy. */
async function measureControl(watchMs: number): Promise<Slope> {
  const points: {x: number; y: number}[] = [];
  for (const workers of BUSY_WORKERS) {
    const pool = createJobPool({workers, slots: SLOTS});
    let bytes = 0;
    const count = (inner: Workers): Workers => ({
      ...inner,
      report: async (host, fence) => {
        const answer = await inner.report(host, fence);
        bytes += JSON.stringify(fence ?? '').length;
        bytes += JSON.stringify(answer.isOk ? answer.value : '').length;
        return answer;
      },
    });
    pool.addLeader({wrapWorkers: count});
    await submit(pool, workers * SLOTS, 600_000);
    await delay(watchMs);
    bytes = 0;
    await delay(watchMs);
    points.push({x: workers, y: bytes / (watchMs / 1_000)});
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
  await submit(pool, jobs, workMs);
  while (!pool.readJobs().every(({state}) => state === JobState.Done)) {
    await delay(POLL_MS);
  }
}

async function submit(
  pool: JobPool,
  jobs: number,
  workMs: number,
): Promise<void> {
  for (let i = 0; i < jobs; i += 1) {
    await pool.calls.submit({
      service: POOL,
      team: '',
      idempotent: true,
      size: createWaiting(i).size,
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

function createWaiting(i: number): Job {
  return {
    id: `job-${i}`,
    operationId: '',
    term: 0,
    service: POOL,
    pool: POOL,
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
