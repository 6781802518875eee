import {createPoolSlots} from '../../src/actors/slots';
import {delay} from '../../src/state';
import {POOL_NAME, createJobPool} from '../../features/jobs/job_pool';

/** Times that bursts waited for slots in use by long work. */
export interface PreemptionRun {
  /**
   * Wait of each slot in ms; Infinity for a slot not freed within the burst.
   */
  readonly waits: readonly number[];
  /** Maximum preemption time of the profile in ms. */
  readonly boundMs: number;
}

const WORKER_COUNT = 8;
const SLOTS_PER_WORKER = 8;
const JOBS = 150;
const BURST_SLOTS = 40;
const BURST_PAUSE_MS = 2_500;
const BURST_MS = 1_500;
const POLL_MS = 5;
const PREEMPTION_BOUND_MS = 1_000;

/**
 * Sends bursts of interactive demand to a pool filled with long work.
 *
 * The leader's actors, a store and workers run in this process on the real
 * clock. The wait of each slot that a burst frees is recorded.
 */
export async function runPreemption(bursts: number): Promise<PreemptionRun> {
  const pool = createJobPool({
    workers: WORKER_COUNT,
    slots: SLOTS_PER_WORKER,
    profile: {preemptionMs: PREEMPTION_BOUND_MS, longWorkMinimum: 0.1},
  });
  let demandedSlots = 0;
  const getFreeSlots = () =>
    pool.hosts.reduce((sum, {id}) => sum + slots.getFreeSlots(id), 0);
  const slots = createPoolSlots(() =>
    pool.hosts.map(host => ({host, state: 'active' as never})),
  );
  const getShortage = () => ({
    slots: Math.max(0, demandedSlots - getFreeSlots()),
    durationMs: 0,
  });
  pool.addLeader({slots: {...slots, getShortage}});
  await delay(500);
  for (let i = 0; i < JOBS; i += 1) {
    await pool.api.submit({
      service: POOL_NAME,
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
    await delay(BURST_PAUSE_MS);
    const startedAt = performance.now();
    const before = getFreeSlots();
    demandedSlots = BURST_SLOTS;
    let slot = before;
    while (performance.now() - startedAt < BURST_MS) {
      const free = Math.min(BURST_SLOTS, getFreeSlots());
      for (; slot < free; slot += 1) waits.push(performance.now() - startedAt);
      await delay(POLL_MS);
    }
    for (; slot < BURST_SLOTS; slot += 1) waits.push(Infinity);
    demandedSlots = 0;
  }
  pool.dispose();
  return {waits, boundMs: PREEMPTION_BOUND_MS};
}
