import {
  Observation,
  chooseDrains,
  planWave,
  reviewLedger,
} from '../../src/decisions/fleet';
import {createPoolIndex} from '../../src/actors/fleet';
import {MirrorEntry, createObservableValue} from '../../src/state';
import {createHost, createProfiles} from '../../src/stand_ins/site';
import {
  Host,
  HostAssignment,
  HostState,
  PoolRecord,
  Profile,
  SelectorKind,
  Unavailability,
  Wave,
  WaveState,
} from '../../src/types';
import {ScaleProbe, Slope} from './slope';

const WORKER_COUNTS = [450, 900, 1_800, 3_600];
const POOL_SIZES = [13, 26, 52, 104, 208];
const WORKERS_PER_POOL = 52;
const UNAVAILABLE_COUNTS = [0, 4, 8, 16, 32];
const ROUNDS = 200;
const QUICK_ROUNDS = 20;
const BATCHES = 5;
/** Maximum number of unavailable hosts of a pool. */
const BUDGET = 5;
const NOW_MS = Date.UTC(2026, 0, 5);

interface Fleet {
  readonly profiles: readonly Profile[];
  readonly hosts: ReadonlyMap<string, Host>;
  readonly assignments: ReadonlyMap<string, HostAssignment>;
  readonly observations: ReadonlyMap<string, Observation>;
  readonly wave: Wave;
}

/**
 * Measures the cost of fleet decisions, of the pool index and of pool records.
 */
export const probeFleet: ScaleProbe = async quick => {
  const rounds = quick ? QUICK_ROUNDS : ROUNDS;
  return [
    measurePlan(rounds),
    measurePoolIndex(rounds),
    ...measurePoolDecisions(rounds),
    measureFleetWideWave(rounds),
    measurePoolRecord(),
  ];
};

function measurePlan(rounds: number): Slope {
  const points = WORKER_COUNTS.map(workers => {
    const fleet = createFleet(workers, WORKERS_PER_POOL);
    const inputs = {...fleet, hostIds: fleet.wave.hostIds, records: new Map()};
    return {x: workers, y: measureFastestMs(rounds, () => planWave(inputs))};
  });
  const cost = 'cpu ms per plan';
  return {role: 'plan of a wave over all hosts', axis: 'workers', cost, points};
}

function measurePoolIndex(rounds: number): Slope {
  const points = WORKER_COUNTS.map(workers => {
    const fleet = createFleet(workers, WORKERS_PER_POOL);
    const hosts = createObservableValue<readonly Host[] | undefined>([
      ...fleet.hosts.values(),
    ]);
    const entries = [...fleet.assignments].map(
      ([id, value]): [string, MirrorEntry<HostAssignment>] => {
        const key = `hosts/${id}`;
        return [key, {key, version: 1, value}];
      },
    );
    const index = createPoolIndex({
      hosts,
      assignments: createFilledMirror(new Map(entries)),
      records: createFilledMirror<PoolRecord>(new Map()),
    });
    const rebuild = () => {
      hosts.set(hosts.get());
      for (const {pool} of fleet.profiles) index.getPoolHosts(pool);
    };
    return {x: workers, y: measureFastestMs(rounds, rebuild)};
  });
  const cost = 'cpu ms per rebuild of every pool';
  return {role: 'fleet view after a change', axis: 'workers', cost, points};
}

function measurePoolDecisions(rounds: number): readonly Slope[] {
  const drains = POOL_SIZES.map(workers => {
    const inputs = createDecisionInputs(createFleet(workers, workers), []);
    return {
      x: workers,
      y: measureFastestMs(rounds, () => chooseDrains(inputs)),
    };
  });
  const reviews = POOL_SIZES.map(workers => {
    const inputs = createDecisionInputs(createFleet(workers, workers), []);
    return {
      x: workers,
      y: measureFastestMs(rounds, () => reviewLedger(inputs)),
    };
  });
  const axis = 'workers of a pool';
  return [
    {role: 'drain choice', axis, cost: 'cpu ms per choice', points: drains},
    {
      role: 'host state round',
      axis,
      cost: 'cpu ms per review',
      points: reviews,
    },
  ];
}

/**
 * Measures the drain choice of one pool while the wave covers the whole fleet.
 */
function measureFleetWideWave(rounds: number): Slope {
  const points = WORKER_COUNTS.map(workers => {
    const fleet = createFleet(workers, WORKERS_PER_POOL);
    const [profile] = fleet.profiles;
    const members = [...fleet.hosts].filter(
      ([, host]) => host.initialPool === profile.pool,
    );
    const inputs = {
      ...createDecisionInputs(fleet, []),
      hosts: new Map(members),
    };
    return {
      x: workers,
      y: measureFastestMs(rounds, () => chooseDrains(inputs)),
    };
  });
  const role = 'drain choice of one pool under a wave over all hosts';
  return {role, axis: 'workers', cost: 'cpu ms per choice', points};
}

function measurePoolRecord(): Slope {
  const points = UNAVAILABLE_COUNTS.map(count => {
    const record: PoolRecord = {
      pool: 'pool-1',
      term: 12,
      leader: 'entry-7',
      unavailable: createUnavailabilities(count),
      sequence: 120,
      budget: BUDGET,
    };
    return {x: count, y: JSON.stringify(record).length};
  });
  const cost = 'bytes of a pool record';
  return {role: 'budget ledger', axis: 'unavailable hosts', cost, points};
}

function createDecisionInputs(
  fleet: Fleet,
  unavailable: readonly Unavailability[],
) {
  return {
    now: NOW_MS,
    profile: fleet.profiles[0],
    unavailable,
    hosts: fleet.hosts,
    assignments: fleet.assignments,
    waves: [fleet.wave],
    observations: fleet.observations,
    rebootLimitMs: 60_000,
  };
}

function createFleet(workers: number, perPool: number): Fleet {
  const pools = Array.from({length: Math.ceil(workers / perPool)}, (_, i) => ({
    name: `pool-${i + 1}`,
    workers: Math.min(perPool, workers - i * perPool),
    spare: i === 0,
  }));
  const availabilityZones = Array.from({length: 10}, (_, i) => `zone-${i}`);
  const site = {name: 'scale', availabilityZones, pools};
  const hosts = new Map<string, Host>();
  const assignments = new Map<string, HostAssignment>();
  const observations = new Map<string, Observation>();
  for (const pool of pools) {
    for (let i = 0; i < pool.workers; i += 1) {
      const host = createHost(site, pool, i, '127.0.0.1', 1);
      hosts.set(host.id, host);
      assignments.set(host.id, createAssignment(host.id, pool.name));
      observations.set(host.id, createObservation(i));
    }
  }
  const profiles = createProfiles(site).map(profile => ({
    ...profile,
    maxUnavailable: BUDGET,
  }));
  return {
    profiles,
    hosts,
    assignments,
    observations,
    wave: createWave([...hosts.keys()]),
  };
}

function createAssignment(hostId: string, pool: string): HostAssignment {
  const lastMaintainedAt = NOW_MS;
  return {hostId, pool, lastMaintainedAt, completedWaves: []};
}

function createObservation(index: number): Observation {
  return {
    reachable: true,
    failures: 0,
    failingSince: 0,
    answeringSince: 0,
    flaps: 0,
    bootNumber: 1,
    draining: false,
    leaving: false,
    slotsUsed: index % 8,
    tasks: index % 3 === 0 ? [{jobId: 'job', attempt: 1}] : [],
    unreleased: 0,
  };
}

function createWave(hostIds: readonly string[]): Wave {
  return {
    id: 'wave-1',
    selector: {kind: SelectorKind.All, name: ''},
    reason: 'scale',
    urgent: false,
    declaredAt: NOW_MS,
    dueAt: NOW_MS,
    state: WaveState.Active,
    cause: 'declared',
    hostIds,
  };
}

function createUnavailabilities(count: number): readonly Unavailability[] {
  return Array.from({length: count}, (_, i) => ({
    hostId: `pool-1-${i + 1}`,
    state: HostState.Rebooting as const,
    since: NOW_MS,
    waveId: 'wave-12345678',
    cause: `pool-1-${i + 1} is drained for wave-12345678`,
    bootNumber: 12,
    rebootAt: NOW_MS,
  }));
}

function createFilledMirror<T>(known: ReadonlyMap<string, MirrorEntry<T>>) {
  return {
    entries: createObservableValue(known),
    synced: createObservableValue(true),
    connected: createObservableValue(true),
    applyWrite: () => {},
    getAgeMs: () => 0,
    dispose: () => {},
  };
}

/** Returns the mean time of a call in ms, in the fastest of five batches. */
function measureFastestMs(rounds: number, call: () => unknown): number {
  let fastest = Infinity;
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedAt = performance.now();
    for (let i = 0; i < rounds; i += 1) call();
    fastest = Math.min(fastest, (performance.now() - startedAt) / rounds);
  }
  return fastest;
}
