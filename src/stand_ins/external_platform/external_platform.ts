import {TaskHost} from '../../types/workflow';
import {MemoryFleet, createMemoryFleet} from '../fleet';
import {KeyValue, createKeyValue} from '../platform';
import {createHostApi} from './host_api';
import {JsonServer, createJsonServer} from './json_server';
import {createMachineApi} from './machine_api';
import {createStoreApi} from './store_api';

/** A running stand-in for the external platform on the loopback interface. */
export interface ExternalPlatform {
  readonly keyValue: KeyValue;
  readonly fleet: MemoryFleet;
  readonly storeAddress: string;
  readonly machinesAddress: string;
  readonly adviceAddress: string;
  /** Writes the operator's configuration to the store. */
  configure(configuration: object): void;
  /** Declares a maintenance wave in the store. */
  declareWave(wave: DeclaredWave): void;
  /**
   * Returns the reported state of a wave; undefined before the first report.
   */
  readWaveState(wave: number): string | undefined;
  dispose(): void;
}

/** A maintenance wave as the operator writes it to the store. */
export interface DeclaredWave {
  readonly wave: number;
  readonly machines: readonly string[];
  readonly durationS: number;
  /** Maximum number of machines that may be down for the wave at once. */
  readonly cap: number;
}

/** Machines of the simulated platform. */
export interface ExternalPlatformOptions {
  /** Number of machines by pool. */
  readonly pools: ReadonlyMap<string, number>;
  readonly sparePool: string;
  readonly spareMachines: number;
  /** Random numbers in [0, 1) that select the host calls with faults. */
  readonly random?: () => number;
  /**
   * Returns the address that a host registers, given the one at which it
   * listens; for a proxy in front of the host. The same by default.
   */
  readonly exposeHost?: (machine: string, address: string) => Promise<string>;
}

const CPU_MILLIS = 16_000;
const MEMORY_MB = 32_768;
const MAX_LEASE_MS = 10_000;
const MOVE_MS = 1_500;
const UPKEEP_MS = 2_000;
/** Key prefix under which hosts register themselves. */
export const REGISTRY_PREFIX = 'servers/';

/**
 * Starts a stand-in for the external platform.
 *
 * @param options the machines by pool
 */
export async function createExternalPlatform({
  pools,
  sparePool,
  spareMachines,
  random = Math.random,
  exposeHost = (_machine, address) => Promise.resolve(address),
}: ExternalPlatformOptions): Promise<ExternalPlatform> {
  const keyValue = createKeyValue();
  const servers: JsonServer[] = [];
  const hostServers = new Map<string, JsonServer>();
  const addresses = new Map<string, string>();
  const fleet = createMemoryFleet({
    keyValue,
    cpuMillis: CPU_MILLIS,
    memoryMb: MEMORY_MB,
    maxLeaseMs: MAX_LEASE_MS,
    moveMs: MOVE_MS,
    upkeepMs: UPKEEP_MS,
    random,
    onDisconnect: machine => hostServers.get(machine)?.disconnect(),
    registry: {
      prefix: REGISTRY_PREFIX,
      write: host => writeEntry(host, addresses.get(host.machine) ?? ''),
    },
  });
  const hosts = fleet.createTaskHosts(() => false);
  const plannedMachines = [...pools].flatMap(([pool, count]) =>
    Array.from({length: count}, () => ({pool, off: false})),
  );
  for (let index = 0; index < spareMachines; index += 1) {
    plannedMachines.push({pool: sparePool, off: true});
  }
  for (const [index, {pool, off}] of plannedMachines.entries()) {
    const machine = `machine-${index + 1}`;
    const api = createHostApi(hosts, () => fleet.getHost(machine));
    const server = await createJsonServer(api);
    servers.push(server);
    hostServers.set(machine, server);
    addresses.set(machine, await exposeHost(machine, server.address));
    fleet.addMachine(pool, off);
  }
  const store = await createJsonServer(createStoreApi(keyValue));
  const machines = await createJsonServer(
    createMachineApi(fleet.createMachines(() => false)),
  );
  const advisor = fleet.createAdvice();
  const advice = await createJsonServer(async ({body}) => {
    const step = String(body.step);
    const answer = await advisor.requestTickets(step, body.workers as string[]);
    return {status: 200, body: {good: [...answer.unwrapOr(new Map())]}};
  });
  servers.push(store, machines, advice);

  function put(key: string, value: object): void {
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    keyValue.swap({key, expectedVersion, value: JSON.stringify(value)});
  }

  return {
    keyValue,
    fleet,
    storeAddress: store.address,
    machinesAddress: machines.address,
    adviceAddress: advice.address,
    configure: configuration => put('op/config', configuration),
    declareWave: wave => put(`op/wave/${wave.wave}`, wave),
    readWaveState(wave) {
      const entry = keyValue.get(`status/wave/${wave}`);
      return entry && (JSON.parse(entry.value) as {state: string}).state;
    },
    dispose() {
      for (const server of servers) server.dispose();
      keyValue.dispose();
    },
  };
}

function writeEntry(host: TaskHost, address: string): string {
  return JSON.stringify({
    service: host.pool,
    address,
    zone: host.availabilityZone,
    version: '1',
    slots: 8,
    state: host.draining ? 'draining' : 'ready',
    coldLeftMs: host.coldMs,
    sequence: 1,
    machine: host.machine,
    born: host.bornAt,
    capacity: {
      cpu: host.capacity.cpuMillis,
      memMb: host.capacity.memoryMb,
      gpu: host.capacity.accelerators,
    },
    labels: ['kind-a', host.rack],
  });
}
