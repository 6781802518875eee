import {createPoolSlots} from '../../src/actors/slots';
import {
  WorkerCandidate,
  chooseCheapestWorker,
  findAdmissionRefusal,
} from '../../src/decisions/requests';
import {DemandReport, borrowMethod} from '../../src/protocol';
import {createHost} from '../../src/stand_ins/site';
import {HostState, PoolHost} from '../../src/types';
import {ScaleProbe, Slope} from './slope';

const ENTRIES = 7;
const SLOTS_PER_WORKER = 8;
const MEAN_RUN_MS = 100;
/** Workers of one pool; 52 is the mean for 3,600 workers in 69 pools. */
const POOL_SIZES: readonly number[] = [8, 52, 450, 1_800, 3_600];
/** Numbers of pools of 52 workers that one leader leads. */
const LED_POOL_COUNTS: readonly number[] = [5, 17, 35, 69];
const QUEUE_LENGTHS: readonly number[] = [10, 100, 1_000, 10_000];
const MEAN_POOL_SIZE = 52;

/**
 * Measures the decisions on interactive requests and the size of demand
 * reports.
 */
export const probeRequests: ScaleProbe = async quick => {
  const rounds = quick ? 5 : 50;
  return [
    measure('leader slot round', 'workers of a pool', POOL_SIZES, rounds, n =>
      createReportRound(n),
    ),
    measure(
      'leader slot round',
      'pools led',
      LED_POOL_COUNTS,
      rounds,
      pools => {
        const all = Array.from({length: pools}, () =>
          createReportRound(MEAN_POOL_SIZE),
        );
        return () => all.forEach(round => round());
      },
    ),
    measure('worker choice', 'workers of a pool', POOL_SIZES, rounds, n => {
      const candidates = createHosts(n).map(createCandidate);
      const inputs = {candidates, triedRacks: [], random: Math.random};
      return () =>
        chooseCheapestWorker({...inputs, availabilityZone: 'zone-a'});
    }),
    measure('admission', 'requests that wait', QUEUE_LENGTHS, rounds, n => {
      const inputs = {timeLeftMs: 2_000, runMs: MEAN_RUN_MS, slots: 9};
      const queue = {running: 9, waiting: n, queueLimit: 2 * n, ahead: n};
      return () =>
        findAdmissionRefusal({
          ...inputs,
          ...queue,
          teamAhead: n,
          teamShare: 1,
        });
    }),
    measureReportSize(),
  ];
};

function measure(
  role: string,
  axis: string,
  values: readonly number[],
  rounds: number,
  prepare: (x: number) => () => unknown,
): Slope {
  const points = values.map(x => {
    const run = prepare(x);
    run();
    const startedAt = performance.now();
    for (let i = 0; i < rounds; i += 1) run();
    return {x, y: (performance.now() - startedAt) / rounds};
  });
  return {role, axis, cost: 'cpu ms per round', points};
}

/**
 * Returns a function that reports the demand of every entry host to a pool's
 * slots.
 */
function createReportRound(workers: number): () => void {
  const hosts = createHosts(workers);
  const slots = createPoolSlots(() => hosts, {
    pool: 'pool',
    term: 1,
    getMemberIds: () => [],
  });
  let sequence = 0;
  return () => {
    sequence += 1;
    for (let i = 0; i < ENTRIES; i += 1) {
      const borrower = {memberId: `e${i}`, session: `s${i}`, sequence};
      slots.lend(borrower, createPoolDemand(hosts, i));
    }
  };
}

function createPoolDemand(
  hosts: readonly PoolHost[],
  entry: number,
): DemandReport['pools'][number] {
  const demand = Math.floor((hosts.length * SLOTS_PER_WORKER) / ENTRIES);
  const held = hosts.filter((_, i) => i % ENTRIES === entry);
  return {
    pool: 'pool',
    demand,
    need: demand,
    hosts: held.map(({host}) => ({
      hostId: host.id,
      held: SLOTS_PER_WORKER,
      used: SLOTS_PER_WORKER,
    })),
  };
}

function measureReportSize(): Slope {
  const points = POOL_SIZES.map(workers => {
    const report = {
      memberId: 'entry-1',
      session: '00000000-0000-0000-0000-000000000000',
      sequence: 1_000,
      pools: [createPoolDemand(createHosts(workers), 0)],
    };
    return {x: workers, y: borrowMethod.requestSerialize(report).length};
  });
  return {
    role: 'demand report in a burst',
    axis: 'workers of a pool',
    cost: 'bytes per pool and entry host, 10 times a second at most',
    points,
  };
}

function createHosts(workers: number): readonly PoolHost[] {
  const pool = {name: 'pool', workers, spare: false};
  const site = {name: 'scale', availabilityZones: ['zone-a'], pools: [pool]};
  return Array.from({length: workers}, (_, i) => ({
    host: createHost(site, pool, i, '127.0.0.1', 0),
    state: HostState.Active,
  }));
}

function createCandidate({host}: PoolHost, i: number): WorkerCandidate {
  return {
    host,
    slots: SLOTS_PER_WORKER,
    used: i % SLOTS_PER_WORKER,
    relativeLatency: 1,
  };
}
