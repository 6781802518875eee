import {Result} from 'true-myth';
import {
  HostAddress,
  HostCallFailure,
  MachineOrderFailure,
  MachineOrderHolder,
  Machines,
  PlacementAdvisor,
  TaskHosts,
} from '../../ports/hosts';
import {delay} from '../../state';
import {Machine, MachineState, TaskHost} from '../../types/workflow';
import {KeyValue} from '../platform';
import {FleetEvent, FleetEventKind} from './fleet_event';
import {createGangs} from './gangs';
import {TaskHostModel, createTaskHostModel} from './task_host_model';

/** Prefix under which stand-in hosts register themselves. */
export const FLEET_REGISTRY_PREFIX = 'registry/';

/** How calls from entry hosts to a stand-in host go wrong. */
export interface FleetCallFaults {
  /** Hosts that don't answer. */
  readonly silent: Set<string>;
  /** Share of the orders that are carried out and not answered. */
  lostAnswers: number;
  /** Share of the holds that are not answered. */
  lostHolds: number;
  /** Share of the orders that are carried out this much later and not answered. */
  late: {share: number; afterMs: number};
}

/** A fleet of stand-in hosts on machines, without any transport. */
export interface MemoryFleet {
  readonly events: readonly FleetEvent[];
  readonly faults: FleetCallFaults;
  readonly hosts: ReadonlyMap<string, TaskHostModel>;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Counts the starts that were ordered on lives which had ended. */
  countStartsAtGone(): number;
  /** Adds a machine; one of a spare pool is off. */
  addMachine(pool: string, off?: boolean, labels?: readonly string[]): string;
  /** Lets the host of a machine announce that it leaves. */
  announceLeave(machine: string): void;
  /** Ends the life of a machine's host; with silence nothing answers at its address. */
  crash(machine: string, silent: boolean): void;
  /** Starts a new life on a machine. */
  boot(machine: string): void;
  /** Returns the host that lives on a machine. */
  getHost(machine: string): TaskHostModel | undefined;
  /** Creates the calls of one entry host; the function tells whether it is cut off. */
  createTaskHosts(isCut: () => boolean): TaskHosts;
  createMachines(isCut: () => boolean): Machines;
  /** Creates the advice service: every second host may run a step. */
  createAdvice(): PlacementAdvisor;
}

/** What a stand-in fleet needs. */
export interface MemoryFleetOptions {
  readonly keyValue: KeyValue;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly longestHoldMs: number;
  readonly moveMs: number;
  readonly upkeepMs: number;
  readonly random: () => number;
  /** Where and how hosts register themselves; as JSON of their data by default. */
  readonly registry?: {
    readonly prefix: string;
    readonly write: (host: TaskHost) => string;
  };
}

/** Time of a call in ms, and after which a call without an answer fails. */
const CALL_MS = 1;
const TIMEOUT_MS = 800;
/** Time in ms after a hold's wait in which its answer has to come. */
const HOLD_SLACK_MS = 300;
/** Time of the advice service for each host, in ms. */
const ADVICE_MS = 20;
/** Time after which the entry of a host that is gone is removed, in ms. */
const ENTRY_MS = 4_500;

/** Creates an empty fleet. */
export function createMemoryFleet({
  keyValue,
  cpuMillis,
  memoryMb,
  longestHoldMs,
  moveMs,
  upkeepMs,
  random,
  registry = {
    prefix: FLEET_REGISTRY_PREFIX,
    write: host => JSON.stringify(host),
  },
}: MemoryFleetOptions): MemoryFleet {
  const events: FleetEvent[] = [];
  const hosts = new Map<string, TaskHostModel>();
  const machines = new Map<string, Machine>();
  const labelsOf = new Map<string, readonly string[]>();
  const gangs = createGangs();
  const dead = new Set<string>();
  const faults: FleetCallFaults = {
    silent: new Set(),
    lostAnswers: 0,
    lostHolds: 0,
    late: {share: 0, afterMs: 0},
  };
  let count = 0;
  let startsAtGone = 0;

  const record = (event: Omit<FleetEvent, 'at'>) =>
    void events.push({...event, at: performance.now()});

  function setMachine(id: string, change: Partial<Machine>): void {
    const machine = machines.get(id);
    if (machine) machines.set(id, {...machine, ...change});
  }

  function putEntry(key: string, value: string | undefined): void {
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    keyValue.swap({key, expectedVersion, value});
  }

  function boot(id: string): void {
    const machine = machines.get(id);
    if (!machine) return;
    count += 1;
    const host: TaskHost = {
      id: `host-${count}`,
      bornAt: Date.now() + count,
      pool: machine.pool,
      address: `address-${id}`,
      availabilityZone: 'zone-a',
      machine: id,
      labels: labelsOf.get(id) ?? [],
      rack: `rack-${Number(id.split('-')[1]) % 3}`,
      capacity: {cpuMillis, memoryMb, accelerators: 0},
      draining: false,
      coldMs: 0,
    };
    hosts.set(host.id, createTaskHostModel(host, longestHoldMs, record, gangs));
    setMachine(id, {state: MachineState.Up, hostId: host.id});
    putEntry(`${registry.prefix}${host.id}`, registry.write(host));
  }

  function endLife(id: string): void {
    const machine = machines.get(id);
    const host = machine && hosts.get(machine.hostId);
    if (!host) return;
    host.kill();
    dead.add(host.host.id);
    const key = `${registry.prefix}${host.host.id}`;
    setTimeout(() => putEntry(key, undefined), ENTRY_MS);
    setMachine(id, {state: MachineState.Down, hostId: ''});
  }

  async function call<T>(
    {id}: HostAddress,
    isCut: () => boolean,
    isOrder: boolean,
    effect: (host: TaskHostModel) => T | Promise<T>,
  ): Promise<Result<T, HostCallFailure>> {
    await delay(CALL_MS);
    const host = hosts.get(id);
    if (isCut() || faults.silent.has(id) || !host) return timeOut();
    if (dead.has(id)) return Result.err(HostCallFailure.Replaced);
    if (isOrder && random() < faults.late.share) {
      setTimeout(() => {
        if (!dead.has(id)) void effect(host);
      }, faults.late.afterMs);
      return timeOut();
    }
    const result = await effect(host);
    const lost = isOrder && random() < faults.lostAnswers;
    if (lost || isCut() || faults.silent.has(id)) return timeOut();
    if (dead.has(id)) return Result.err(HostCallFailure.Replaced);
    await delay(CALL_MS);
    return Result.ok(result);
  }

  async function timeOut<T>(): Promise<Result<T, HostCallFailure>> {
    await delay(TIMEOUT_MS);
    return Result.err(HostCallFailure.NoAnswer);
  }

  async function orderMachine(
    id: string,
    {holder, fence}: MachineOrderHolder,
    isCut: () => boolean,
    state: MachineState,
    takesMs: number,
    pool: string,
  ): Promise<Result<void, MachineOrderFailure>> {
    await delay(CALL_MS);
    if (isCut()) return Result.err(MachineOrderFailure.Refused);
    const machine = machines.get(id);
    if (!machine) return Result.err(MachineOrderFailure.Impossible);
    if (machine.state !== MachineState.Up) {
      return Result.err(MachineOrderFailure.Busy);
    }
    record({
      kind: FleetEventKind.Order,
      hostId: machine.hostId,
      task: `${state} ${id}`,
      run: 0,
      holder,
      fence,
    });
    const off = machine.hostId === '';
    endLife(id);
    setMachine(id, {state, pool, hostId: ''});
    setTimeout(() => {
      const stays = off && pool === machine.pool;
      if (stays || offPools.has(pool)) {
        setMachine(id, {state: MachineState.Up, hostId: ''});
      } else boot(id);
    }, takesMs);
    return Result.ok(undefined);
  }

  const offPools = new Set<string>();

  return {
    events,
    faults,
    hosts,
    machines,
    countStartsAtGone: () => startsAtGone,
    addMachine(pool, off = false, labels = []) {
      const id = `machine-${machines.size + 1}`;
      labelsOf.set(id, labels);
      machines.set(id, {id, pool, state: MachineState.Up, hostId: ''});
      if (off) offPools.add(pool);
      else boot(id);
      return id;
    },
    announceLeave(machine) {
      const model = hosts.get(machines.get(machine)?.hostId ?? '');
      if (!model) return;
      const {host} = model;
      const leaving = {...host, draining: true};
      putEntry(`${registry.prefix}${host.id}`, registry.write(leaving));
      record({
        kind: FleetEventKind.Leaving,
        hostId: host.id,
        task: '',
        run: 0,
      });
    },
    crash(machine, silent) {
      const {hostId = ''} = machines.get(machine) ?? {};
      if (silent) faults.silent.add(hostId);
      endLife(machine);
    },
    boot,
    getHost: machine => hosts.get(machines.get(machine)?.hostId ?? ''),
    createTaskHosts: isCut => ({
      start(host, order) {
        if (dead.has(host.id)) startsAtGone += 1;
        return call(host, isCut, true, model => model.start(order));
      },
      stop: (host, order) =>
        call(host, isCut, true, model => model.stop(order)),
      pace: (host, order, percent) =>
        call(host, isCut, true, model => model.pace(order, percent)),
      async hold(host, request) {
        const report = call(host, isCut, false, model => model.hold(request));
        if (random() >= faults.lostHolds) return report;
        await delay(request.waitMs + HOLD_SLACK_MS);
        return Result.err(HostCallFailure.NoAnswer);
      },
      disconnect: () => {},
      dispose: () => {},
    }),
    createAdvice: () => ({
      async requestTickets(step, hostIds) {
        await delay(CALL_MS + hostIds.length * ADVICE_MS);
        const good = hostIds.filter(id => Number(id.split('-')[1]) % 2 === 0);
        return Result.ok(new Map(good.map(id => [id, `${step}@${id}`])));
      },
    }),
    createMachines: isCut => ({
      async list() {
        await delay(CALL_MS);
        return isCut()
          ? Result.err(MachineOrderFailure.Refused)
          : Result.ok([...machines.values()]);
      },
      move: (machine, pool, by) =>
        orderMachine(machine, by, isCut, MachineState.Moving, moveMs, pool),
      service: (machine, _wave, by) => {
        const {pool = ''} = machines.get(machine) ?? {};
        return orderMachine(
          machine,
          by,
          isCut,
          MachineState.Upkeep,
          upkeepMs,
          pool,
        );
      },
    }),
  };
}
