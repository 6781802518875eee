import {Result} from 'true-myth';
import {Relay, createRelay} from '../../src/actors/membership';
import {PeerFailure, Peers} from '../../src/ports';
import {
  KeyValue,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {delay} from '../../src/state';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Member} from '../../src/types';
import {Slope} from './slope';

const MEMBER_COUNTS: readonly number[] = [7, 14, 28, 56];
const CHANGE_RATES: readonly number[] = [0, 20, 40, 80];
const HOST_COUNTS: readonly number[] = [40, 400, 1_200, 3_600];
/** Time for the relays to start before a measurement, in ms. */
const WARM_UP_MS = 2_500;
const MEASUREMENT_MS = 4_000;
const QUICK_MEASUREMENT_MS = 2_000;
const DESIGN_MEMBERS = 28;
const DESIGN_HOSTS = 400;
const HOST_VALUE = JSON.stringify({pool: 'pool-1', completedWaves: ['w']});

/** Cost of relaying the store's records during one measurement. */
interface RelayCost {
  /** Store calls of all members per second. */
  readonly storeCalls: number;
  /** Bytes that the busiest member sends and receives per second. */
  readonly bytes: number;
  /** CPU time per member, in ms per second. */
  readonly processorMs: number;
}

interface Counters {
  storeCalls: number;
  /** Bytes sent and received, by member id. */
  readonly bytes: Map<string, number>;
}

/**
 * Measures the relay by number of members, changes per second and hosts.
 *
 * All members run in this process on the real clock.
 */
export async function measureRelays(quick: boolean): Promise<readonly Slope[]> {
  const durationMs = quick ? QUICK_MEASUREMENT_MS : MEASUREMENT_MS;
  const slopes: Slope[] = [];
  const byMembers = await measureAll(MEMBER_COUNTS, x =>
    measureRelay(x, DESIGN_HOSTS, 10, durationMs),
  );
  const byChanges = await measureAll(CHANGE_RATES, x =>
    measureRelay(DESIGN_MEMBERS, DESIGN_HOSTS, x, durationMs),
  );
  const byHosts = await measureAll(HOST_COUNTS, x =>
    measureRelay(DESIGN_MEMBERS, x, 10, durationMs),
  );
  slopes.push(...createSlopes('members', byMembers));
  slopes.push(...createSlopes('changes per second', byChanges));
  slopes.push(...createSlopes('hosts', byHosts));
  return slopes;
}

interface Measurement {
  readonly x: number;
  readonly cost: RelayCost;
}

async function measureAll(
  values: readonly number[],
  run: (x: number) => Promise<RelayCost>,
): Promise<readonly Measurement[]> {
  const measurements: Measurement[] = [];
  for (const x of values) measurements.push({x, cost: await run(x)});
  return measurements;
}

function createSlopes(
  axis: string,
  measurements: readonly Measurement[],
): readonly Slope[] {
  const role = 'relay of the store between members';
  const pick = (read: (cost: RelayCost) => number) =>
    measurements.map(({x, cost}) => ({x, y: read(cost)}));
  return [
    {
      role,
      axis,
      cost: 'store calls per second, all members',
      points: pick(cost => cost.storeCalls),
    },
    {
      role,
      axis,
      cost: 'bytes per second, busiest member',
      points: pick(cost => cost.bytes),
    },
    {
      role,
      axis,
      cost: 'cpu ms per second and member',
      points: pick(cost => cost.processorMs),
    },
  ];
}

async function measureRelay(
  memberCount: number,
  hosts: number,
  changesPerSecond: number,
  durationMs: number,
): Promise<RelayCost> {
  const keyValue = createKeyValue();
  for (let i = 0; i < hosts; i += 1) writeHost(keyValue, `hosts/host-${i}`);
  const counters: Counters = {storeCalls: 0, bytes: new Map()};
  const relays = createRelays(keyValue, memberCount, counters);
  await delay(WARM_UP_MS);
  counters.storeCalls = 0;
  counters.bytes.clear();
  const before = process.cpuUsage();
  const startedAt = performance.now();
  await writeChanges(keyValue, hosts, changesPerSecond, durationMs);
  const elapsedS = (performance.now() - startedAt) / 1_000;
  const {user, system} = process.cpuUsage(before);
  for (const relay of relays) relay.dispose();
  keyValue.dispose();
  return {
    storeCalls: counters.storeCalls / elapsedS,
    bytes: Math.max(0, ...counters.bytes.values()) / elapsedS,
    processorMs: (user + system) / 1_000 / elapsedS / memberCount,
  };
}

async function writeChanges(
  keyValue: KeyValue,
  hosts: number,
  changesPerSecond: number,
  durationMs: number,
): Promise<void> {
  if (changesPerSecond === 0) return delay(durationMs);
  const count = Math.round((changesPerSecond * durationMs) / 1_000);
  for (let i = 0; i < count; i += 1) {
    writeHost(keyValue, `hosts/host-${i % hosts}`);
    await delay(1_000 / changesPerSecond);
  }
}

function writeHost(keyValue: KeyValue, key: string): void {
  const expectedVersion = keyValue.get(key)?.version ?? 0;
  keyValue.swap({key, expectedVersion, value: HOST_VALUE});
}

function createRelays(
  keyValue: KeyValue,
  count: number,
  counters: Counters,
): readonly Relay[] {
  const members = Array.from({length: count}, (_, i) => createMember(i));
  const relays = new Map<string, Relay>();
  for (const {id} of members) {
    const store = createMemoryStore(
      keyValue,
      createStoreFaults(),
      Math.random,
      () => (counters.storeCalls += 1),
    );
    const relay = createRelay({
      store,
      peers: createCountingPeers(id, relays, counters),
      telemetry: createTelemetry(id, LogLevel.Error),
      selfId: id,
      getMembers: () => members,
      seeds: [],
    });
    relays.set(id, relay);
    relay.start();
  }
  return [...relays.values()];
}

function createMember(index: number): Member {
  return {
    id: `member-${String(index).padStart(3, '0')}`,
    availabilityZone: 'zone-a',
    address: '127.0.0.1',
    callerPort: 0,
    operatorPort: 0,
    peerPort: 0,
    startedAt: index,
    leaving: false,
  };
}

/**
 * Creates peers that encode every message and count its bytes at both members.
 */
function createCountingPeers(
  selfId: string,
  relays: ReadonlyMap<string, Relay>,
  {bytes}: Counters,
): Peers {
  const count = (id: string, length: number) =>
    bytes.set(id, (bytes.get(id) ?? 0) + length);
  return {
    async call(member, method, request) {
      const relay = relays.get(member.id);
      if (!relay) return Result.err(PeerFailure.Unreachable);
      const encodedRequest = method.requestSerialize(request);
      const decodedRequest = method.requestDeserialize(encodedRequest);
      const reply = await relay.handler.handle(decodedRequest as never);
      const encodedReply = method.responseSerialize(reply as never);
      for (const id of [selfId, member.id]) {
        count(id, encodedRequest.length + encodedReply.length);
      }
      return Result.ok(method.responseDeserialize(encodedReply));
    },
    retain: () => {},
    dispose: () => {},
  };
}
