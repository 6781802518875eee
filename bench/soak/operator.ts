import {ExternalPlatform} from '../../src/stand_ins/external_platform';
import {AUTHORITY, MAX_ATTEMPTS, QUEUES} from './submission';
import {POOLS, SPARE_POOL} from './site';

/** The operator, who changes the configuration and declares waves. */
export interface Operator {
  /** Version of the latest configuration. */
  readonly version: number;
  /** Monotonic time in ms at which a version was stored. */
  getStoredAt(version: number): number;
  /**
   * Stores the next configuration, which adds the route `/from-VERSION/` and
   * drops the route `/until-VERSION/`.
   *
   * @param lost whether the store loses it although the operator believes
   *     that it is stored; a planted fault
   */
  configure(lost?: boolean): void;
  declareWave(pool: string, cap: number): DeclaredWave;
  readonly waves: readonly DeclaredWave[];
}

/** A wave that the operator declared. */
export interface DeclaredWave {
  readonly wave: number;
  readonly machines: readonly string[];
  readonly cap: number;
  readonly declaredAt: number;
}

const WAVE_DURATION_S = 20;
/** Versions ahead for which a route exists that they will drop. */
const ROUTES_AHEAD = 3;

/** Creates an operator that has configured nothing yet. */
export function createOperator(platform: ExternalPlatform): Operator {
  const storedAt: number[] = [0];
  const waves: DeclaredWave[] = [];
  let version = 0;

  return {
    get version() {
      return version;
    },
    waves,
    getStoredAt: wanted => storedAt[wanted],
    configure(lost = false) {
      version += 1;
      if (!lost) platform.configure(createConfiguration(version));
      storedAt[version] = performance.now();
    },
    declareWave(pool, cap) {
      const wave = {
        wave: waves.length + 1,
        machines: [...platform.fleet.machines.values()]
          .filter(machine => machine.pool === pool)
          .map(({id}) => id),
        cap,
        declaredAt: performance.now(),
      };
      waves.push(wave);
      platform.declareWave({...wave, durationS: WAVE_DURATION_S});
      return wave;
    },
  };
}

function createConfiguration(version: number): object {
  const [pool] = POOLS.keys();
  const range = (from: number, to: number) =>
    Array.from({length: to - from + 1}, (_, index) => from + index);
  const routes = [
    ...[...QUEUES].map(([name, service]) => createRoute(name, service)),
    ...range(1, version).map(each => createRoute(`from-${each}`, pool)),
    ...range(version + 1, version + ROUTES_AHEAD).map(each =>
      createRoute(`until-${each}`, pool),
    ),
  ];
  return {
    version,
    routes,
    services: [
      ...[...POOLS.keys()].map(name => ({name, rejectsOverload: true})),
      {name: SPARE_POOL, rejectsOverload: true, spare: true},
    ],
    limits: {},
  };
}

function createRoute(name: string, service: string): object {
  return {
    name,
    service,
    host: AUTHORITY,
    prefix: `/${name}/`,
    priority: 0,
    maxAttempts: MAX_ATTEMPTS,
    stretch: 2,
    targetDurationMs: 600,
  };
}
