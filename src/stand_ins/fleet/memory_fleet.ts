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
import {Machine, MachineState, TaskEnd, TaskHost} from '../../types/workflow';
import {KeyValue} from '../platform';
import {FleetEvent, FleetEventKind} from './fleet_event';
import {createGangs} from './gangs';
import {TaskHostModel, createTaskHostModel} from './task_host_model';

/** Default key prefix under which stand-in hosts register themselves. */
export const FLEET_REGISTRY_PREFIX = 'registry/';

/** Faults of calls from entry hosts to stand-in hosts. */
export interface FleetCallFaults {
  /** Ids of hosts that do not answer. */
  readonly silent: Set<string>;
  /** Share of orders, 0 to 1, that are carried out but not answered. */
  lostAnswers: number;
  /** Share of hold calls, 0 to 1, that are not answered. */
  lostHolds: number;
  /**
   * Share of orders, 0 to 1, that are carried out after a delay in ms and not
   * answered.
   */
  delayedOrders: {share: number; afterMs: number};
  /**
   * Whether a host that has restarted carries out delayed orders that were sent
   * to its earlier incarnation.
   */
  ordersOutliveHosts: boolean;
  /** Whether another host answers at the earlier address of one that has moved. */
  reusesAddresses: boolean;
  /** Age in ms of a machine list when it arrives. */
  listAgeMs: number;
  /** Ids of machines that stay but are left out of machine lists. */
  readonly unlisted: Set<string>;
  /** Ids of machines whose orders are answered as if there were none. */
  readonly denied: Set<string>;
}

/** Stand-in hosts and machines in memory, without any transport. */
export interface MemoryFleet {
  /** All recorded events in the order in which they happened. */
  readonly events: readonly FleetEvent[];
  readonly faults: FleetCallFaults;
  /** Latest host incarnation by id, including those that have ended. */
  readonly hosts: ReadonlyMap<string, TaskHostModel>;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Counts the start orders sent to host incarnations that had ended. */
  countStartsOnEndedHosts(): number;
  /**
   * Adds a machine and returns its id. A machine of a spare pool is powered
   * off and has no host.
   */
  addMachine(pool: string, off?: boolean, labels?: readonly string[]): string;
  /** Removes a machine, with the host that runs on it, for good. */
  removeMachine(machine: string): void;
  /**
   * Makes the host of a machine announce in the registry that it is draining.
   */
  announceDraining(machine: string): void;
  /**
   * Ends the host on a machine. Later calls to it time out if `silent` is set;
   * otherwise they fail as unreachable, or as replaced once another host has
   * started on its machine.
   */
  crash(machine: string, silent: boolean): void;
  /** Starts a host with a new id on a machine. */
  boot(machine: string): void;
  /**
   * Starts the host that has crashed on a machine again, under its id. What it
   * knew is gone, and its clock and the numbers of its ends start anew.
   *
   * @param moved whether it has another address
   * @param bornAt Unix time in ms that it gives as that of its start; the time
   *     of its start by default
   */
  restart(machine: string, moved?: boolean, bornAt?: number): void;
  /** Returns the host that currently runs on a machine. */
  getHost(machine: string): TaskHostModel | undefined;
  /**
   * Creates the host port of one entry host; `isPartitioned` returns whether
   * the entry host is currently partitioned from the fleet.
   */
  createTaskHosts(isPartitioned: () => boolean): TaskHosts;
  /** Creates the machine port of one entry host. */
  createMachines(isPartitioned: () => boolean): Machines;
  /** Creates the advice service, which permits the hosts with even numbers. */
  createAdvice(): PlacementAdvisor;
}

/** Options of a stand-in fleet. */
export interface MemoryFleetOptions {
  readonly keyValue: KeyValue;
  /** Thousandths of a processor of each host. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** Maximum length of a lease that a host grants, in ms. */
  readonly maxLeaseMs: number;
  /** Duration of moving a machine to another pool, in ms. */
  readonly moveMs: number;
  /** Duration of a machine's maintenance, in ms. */
  readonly upkeepMs: number;
  /** Random numbers in [0, 1) that select the calls with faults. */
  readonly random: () => number;
  /** Called when the connections to a machine's host have broken. */
  readonly onDisconnect?: (machine: string) => void;
  /**
   * Key prefix and encoding of registry entries; JSON of the host by default.
   */
  readonly registry?: {
    readonly prefix: string;
    readonly write: (host: TaskHost) => string;
  };
  /**
   * Called with each end that a host discards because it was acknowledged.
   */
  readonly onDiscard?: (hostId: string, end: TaskEnd) => void;
}

/** One-way latency of a call in ms. */
const CALL_LATENCY_MS = 1;
/** Time in ms after which a call without an answer fails. */
const CALL_TIMEOUT_MS = 800;
/** Time in ms after the requested wait of a hold call until it times out. */
const HOLD_TIMEOUT_MARGIN_MS = 300;
/** Time that the advice service takes for each host, in ms. */
const ADVICE_MS_PER_HOST = 20;
/** Time in ms from the crash of a host to the start of the next one. */
const RESTART_MS = 3_000;
/** Time in ms after which the registry entry of an ended host is removed. */
const REGISTRY_ENTRY_TTL_MS = 4_500;

/**
 * Creates a fleet without machines.
 *
 * @param options the key-value service, host sizes and durations
 */
export function createMemoryFleet({
  keyValue,
  cpuMillis,
  memoryMb,
  maxLeaseMs,
  moveMs,
  upkeepMs,
  random,
  onDisconnect = () => {},
  registry = {
    prefix: FLEET_REGISTRY_PREFIX,
    write: host => JSON.stringify(host),
  },
  onDiscard = () => {},
}: MemoryFleetOptions): MemoryFleet {
  const events: FleetEvent[] = [];
  const hosts = new Map<string, TaskHostModel>();
  const machines = new Map<string, Machine>();
  const labelsByMachine = new Map<string, readonly string[]>();
  const gangs = createGangs();
  const endedHosts = new Set<TaskHostModel>();
  /** Id of the host that was last on a machine. */
  const lastHostIds = new Map<string, string>();
  const faults: FleetCallFaults = {
    silent: new Set(),
    lostAnswers: 0,
    lostHolds: 0,
    delayedOrders: {share: 0, afterMs: 0},
    ordersOutliveHosts: false,
    reusesAddresses: false,
    listAgeMs: CALL_LATENCY_MS,
    unlisted: new Set(),
    denied: new Set(),
  };
  let hostCount = 0;
  let startsOnEndedHosts = 0;

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

  function boot(
    id: string,
    hostId = `host-${hostCount + 1}`,
    address = `address-${id}`,
    bornAt?: number,
  ): void {
    const machine = machines.get(id);
    if (!machine) return;
    hostCount += 1;
    const host: TaskHost = {
      id: hostId,
      bornAt: bornAt ?? Date.now() + hostCount,
      pool: machine.pool,
      address,
      availabilityZone: 'zone-a',
      machine: id,
      labels: labelsByMachine.get(id) ?? [],
      rack: `rack-${Number(id.split('-')[1]) % 3}`,
      capacity: {cpuMillis, memoryMb, accelerators: 0},
      draining: false,
      coldMs: 0,
    };
    const crash = () => {
      if (hosts.get(host.id) !== model || endedHosts.has(model)) return;
      endHost(id);
      setTimeout(() => boot(id), RESTART_MS);
    };
    const model = createTaskHostModel(
      host,
      maxLeaseMs,
      record,
      gangs,
      crash,
      end => onDiscard(host.id, end),
    );
    hosts.set(host.id, model);
    onDisconnect(id);
    lastHostIds.set(id, host.id);
    record({kind: FleetEventKind.Boot, hostId: host.id, task: '', run: 0});
    setMachine(id, {state: MachineState.Up, hostId: host.id});
    putEntry(`${registry.prefix}${host.id}`, registry.write(host));
  }

  function endHost(id: string): void {
    const machine = machines.get(id);
    const host = machine && hosts.get(machine.hostId);
    if (!host) return;
    host.kill();
    endedHosts.add(host);
    if (!faults.silent.has(host.host.id)) onDisconnect(id);
    const key = `${registry.prefix}${host.host.id}`;
    setTimeout(() => {
      if (hosts.get(host.host.id) === host) putEntry(key, undefined);
    }, REGISTRY_ENTRY_TTL_MS);
    setMachine(id, {state: MachineState.Down, hostId: ''});
  }

  /** Nothing listens at the address of a host that has crashed. */
  function getFailure({host}: TaskHostModel): HostCallFailure {
    const isDown = machines.get(host.machine)?.state === MachineState.Down;
    return isDown ? HostCallFailure.Unreachable : HostCallFailure.Replaced;
  }

  async function call<T>(
    {id, address}: HostAddress,
    isPartitioned: () => boolean,
    isOrder: boolean,
    effect: (host: TaskHostModel, isLate: boolean) => T | Promise<T>,
  ): Promise<Result<T, HostCallFailure>> {
    await delay(CALL_LATENCY_MS);
    const host = hosts.get(id);
    if (isPartitioned() || faults.silent.has(id) || !host) return timeOut();
    if (endedHosts.has(host)) return Result.err(getFailure(host));
    if (address !== host.host.address) {
      return Result.err(
        faults.reusesAddresses
          ? HostCallFailure.Replaced
          : HostCallFailure.Unreachable,
      );
    }
    if (isOrder && random() < faults.delayedOrders.share) {
      const {ordersOutliveHosts} = faults;
      setTimeout(() => {
        const late = ordersOutliveHosts ? hosts.get(id) : host;
        if (!late || endedHosts.has(late)) return;
        // A host that can't read a late order has nobody to tell.
        void (async () => effect(late, true))().catch(() => {});
      }, faults.delayedOrders.afterMs);
      return timeOut();
    }
    const result = await effect(host, false);
    const lost = isOrder && random() < faults.lostAnswers;
    if (lost || isPartitioned() || faults.silent.has(id)) return timeOut();
    // A restart under the same id breaks the connection.
    if (hosts.get(id) !== host) return Result.err(HostCallFailure.NoAnswer);
    if (endedHosts.has(host)) return Result.err(getFailure(host));
    await delay(CALL_LATENCY_MS);
    return Result.ok(result);
  }

  async function timeOut<T>(): Promise<Result<T, HostCallFailure>> {
    await delay(CALL_TIMEOUT_MS);
    return Result.err(HostCallFailure.NoAnswer);
  }

  async function orderMachine(
    id: string,
    {holder, fence}: MachineOrderHolder,
    isPartitioned: () => boolean,
    state: MachineState,
    durationMs: number,
    pool: string,
  ): Promise<Result<void, MachineOrderFailure>> {
    await delay(CALL_LATENCY_MS);
    if (isPartitioned()) return Result.err(MachineOrderFailure.Refused);
    const machine = machines.get(id);
    if (!machine || faults.denied.has(id)) {
      return Result.err(MachineOrderFailure.Impossible);
    }
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
    endHost(id);
    setMachine(id, {state, pool, hostId: ''});
    setTimeout(() => {
      const staysOff = off && pool === machine.pool;
      if (staysOff || offPools.has(pool)) {
        setMachine(id, {state: MachineState.Up, hostId: ''});
      } else boot(id);
    }, durationMs);
    return Result.ok(undefined);
  }

  const offPools = new Set<string>();

  return {
    events,
    faults,
    hosts,
    machines,
    countStartsOnEndedHosts: () => startsOnEndedHosts,
    addMachine(pool, off = false, labels = []) {
      const id = `machine-${machines.size + 1}`;
      labelsByMachine.set(id, labels);
      machines.set(id, {id, pool, state: MachineState.Up, hostId: ''});
      if (off) offPools.add(pool);
      else boot(id);
      return id;
    },
    removeMachine(machine) {
      endHost(machine);
      machines.delete(machine);
    },
    announceDraining(machine) {
      const model = hosts.get(machines.get(machine)?.hostId ?? '');
      if (!model) return;
      const {host} = model;
      const draining = {...host, draining: true};
      putEntry(`${registry.prefix}${host.id}`, registry.write(draining));
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
      endHost(machine);
    },
    boot: machine => boot(machine),
    restart(machine, moved = false, bornAt = undefined) {
      const hostId = lastHostIds.get(machine);
      const ended = hostId === undefined ? undefined : hosts.get(hostId);
      if (!hostId || !ended) return;
      if (machines.get(machine)?.state !== MachineState.Down) return;
      const {address} = ended.host;
      faults.silent.delete(hostId);
      boot(machine, hostId, moved ? `${address}'` : address, bornAt);
    },
    getHost: machine => hosts.get(machines.get(machine)?.hostId ?? ''),
    createTaskHosts: isPartitioned => ({
      start(host, order) {
        const model = hosts.get(host.id);
        if (model && endedHosts.has(model)) startsOnEndedHosts += 1;
        return call(host, isPartitioned, true, model => model.start(order));
      },
      stop: (host, order) =>
        call(host, isPartitioned, true, (model, isLate) =>
          model.stop(order, isLate),
        ),
      pace: (host, order, percent) =>
        call(host, isPartitioned, true, model => model.pace(order, percent)),
      async hold(host, request) {
        const report = call(host, isPartitioned, false, model => {
          const seenEnd = request.seenOn.has(model) ? request.seenEnd : 0;
          return model.hold({...request, seenEnd});
        });
        if (random() >= faults.lostHolds) return report;
        await delay(request.waitMs + HOLD_TIMEOUT_MARGIN_MS);
        return Result.err(HostCallFailure.NoAnswer);
      },
      disconnect: () => {},
      dispose: () => {},
    }),
    createAdvice: () => ({
      async requestTickets(step, hostIds) {
        await delay(CALL_LATENCY_MS + hostIds.length * ADVICE_MS_PER_HOST);
        const advisedIds = hostIds.filter(
          id => Number(id.split('-')[1]) % 2 === 0,
        );
        return Result.ok(new Map(advisedIds.map(id => [id, `${step}@${id}`])));
      },
    }),
    createMachines: isPartitioned => ({
      async list() {
        const listed = [...machines.values()].filter(
          ({id}) => !faults.unlisted.has(id),
        );
        await delay(faults.listAgeMs);
        return isPartitioned()
          ? Result.err(MachineOrderFailure.Refused)
          : Result.ok(listed);
      },
      move: (machine, pool, holder) =>
        orderMachine(
          machine,
          holder,
          isPartitioned,
          MachineState.Moving,
          moveMs,
          pool,
        ),
      service: (machine, _wave, holder) => {
        const {pool = ''} = machines.get(machine) ?? {};
        return orderMachine(
          machine,
          holder,
          isPartitioned,
          MachineState.Maintenance,
          upkeepMs,
          pool,
        );
      },
    }),
  };
}
