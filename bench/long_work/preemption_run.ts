import {createPoolSlots} from '../../src/actors/slots';
import {delay} from '../../src/state';
import {POOL, createJobPool} from '../../features/jobs/job_pool';

/** Waits of bursts for slots that long work held, in ms. */
export interface PreemptionRun {
  readonly waits: readonly number[];
  /** The profile's bound in ms. */
  readonly boundMs: number;
}

const WORKERS = 8;
const SLOTS = 8;
const JOBS = 150;
const WANTED = 40;
const CALM_MS = 2_500;
const BURST_MS = 1_500;
const POLL_MS = 5;
const BOUND_MS = 1_000;

/**
 * Lets bursts of interactive demand come over a pool that long work fills.
 *
 * The leader's actors, a store and workers share this process; the clock is
 * the real one. Each freed slot of a burst counts with its own wait.
 */
export async function runPreemption(bursts: number): Promise<PreemptionRun> {
  const pool = createJobPool({
    workers: WORKERS,
    slots: SLOTS,
    profile: {preemptionMs: BOUND_MS, longWorkMinimum: 0.1},
  });
  let wanted = 0;
  const getFree = () =>
    pool.hosts.reduce((sum, {id}) => sum + ledger.getFreeSlots(id), 0);
  const ledger = createPoolSlots(() =>
    pool.hosts.map(host => ({host, state: 'active' as never})),
  );
  const getShortage = () => ({
    slots: Math.max(0, wanted - getFree()),
    durationMs: 0,
  });
  pool.addLeader({slots: {...ledger, getShortage}});
  await delay(500);
  for (let i = 0; i < JOBS; i += 1) {
    await pool.calls.submit({
      service: POOL,
      team: '',
      idempotent: true,
      size: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
      runTimeMs: 60_000,
      dueAt: Date.now() + 3_600_000,
      input: 'work-ms=60000',
    });
  }
  const waits: number[] = [];
  for (let burst = 0; burst < bursts; burst += 1) {
    await delay(CALM_MS);
    const startedAt = performance.now();
    const before = getFree();
    wanted = WANTED;
    let seen = before;
    while (performance.now() - startedAt < BURST_MS) {
      const free = Math.min(WANTED, getFree());
      for (; seen < free; seen += 1) waits.push(performance.now() - startedAt);
      await delay(POLL_MS);
    }
    for (; seen < WANTED; seen += 1) waits.push(Infinity);
    wanted = 0;
  }
  pool.dispose();
  return {waits, boundMs: BOUND_MS};
}
