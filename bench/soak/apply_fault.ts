import {METRICS_PORT} from '../../platform/metrics';
import {LEADER_KEY} from '../../src/actors/workflows/keys';
import {REGISTRY_PREFIX} from '../../src/stand_ins/external_platform';
import {delay} from '../../src/state';
import {MachineState} from '../../src/types/workflow';
import {CALLER_PORT, READY_PORT} from '../workflows/entry_process';
import {playBadCallers} from './bad_callers';
import {BOUNDS} from './bounds';
import {Disturbances} from './disturbances';
import {Entry} from './entry';
import {EntryRevival} from './entry_revival';
import {Fault, FaultKind, LinkKind} from './fault';
import {drawForeignEntries} from './foreign_entries';
import {Link} from './link';
import {Operator} from './operator';
import {Random, createRandom} from './random';
import {POOLS, SoakSite} from './site';
import {applyStartFault} from './start_faults';
import {StoreServer} from './store_server';
import {Submission} from './submission';
import {Check, Verdict} from './verdict';

/** What faults act on. */
export interface FaultContext {
  readonly site: SoakSite;
  readonly operator: Operator;
  readonly submissions: ReadonlyMap<string, Submission>;
  readonly revival: EntryRevival;
  readonly disturbances: Disturbances;
  readonly verdict: Verdict;
}

/** Applies faults; each resolves when it is over. */
export type ApplyFault = (fault: Fault) => Promise<void>;

const PERCENT = 100;
const MAX_AMOUNT = 10_000;
const PORTS = [CALLER_PORT, READY_PORT, METRICS_PORT];
const HOST_RESTART_MS = 1_000;
/** Part of its duration for which a host that restarts under its id is down. */
const RESTART_PAUSE_DIVISOR = 4;
/** One in so many entries that lapse never comes back. */
const NEVER_BACK = 8;
/** Maximum time in ms that a power cut waits for accepted work. */
const ACCEPT_WAIT_MS = 1_500;
const ACCEPT_POLL_MS = 2;
/** Maximum machines of a wave that are down at once. */
const WAVE_CAP = 2;

/** Creates the function that applies faults to a site. */
export function createFaultApplier({
  site,
  operator,
  submissions,
  revival,
  disturbances,
  verdict,
}: FaultContext): ApplyFault {
  const {entries, stores, platform} = site;
  const {fleet, keyValue} = platform;
  /**
   * Latest fault of each target by slot, as a store can be slow and lose answers
   * at once; an earlier fault of the slot doesn't end a later one.
   */
  const latest = new Map<string, Map<object, Fault>>();

  function choose<T>(targets: readonly T[], {target, wide}: Fault) {
    return wide ? targets : [targets[target % targets.length]];
  }

  /** Applies a fault to targets and ends it where no later one has begun. */
  async function hold<T extends object>(
    fault: Fault,
    slot: string,
    targets: readonly T[],
    set: (target: T, on: boolean) => void,
  ): Promise<void> {
    const inSlot = latest.get(slot) ?? new Map<object, Fault>();
    latest.set(slot, inSlot);
    for (const target of targets) {
      inSlot.set(target, fault);
      set(target, true);
    }
    await delay(fault.forMs);
    for (const target of targets) {
      if (inSlot.get(target) === fault) set(target, false);
    }
  }

  function holdLinks(fault: Fault): Promise<void> {
    const links = choose<Link>(site.links[fault.link ?? LinkKind.Store], fault);
    return hold(fault, 'link', links, (link, on) =>
      link.setFault(on ? fault.kind : undefined, fault.amount),
    );
  }

  function holdStores(
    fault: Fault,
    set: (faults: StoreServer['faults'], on: boolean) => void,
  ): Promise<void> {
    const all = stores.map(({faults}) => faults);
    return hold(fault, fault.kind, choose(all, fault), set);
  }

  function pickEntry({target, wide}: Fault): Entry {
    const leader = wide ? keyValue.get(LEADER_KEY)?.value : undefined;
    return (
      site.listEntries().find(({name}) => leader?.includes(name)) ??
      entries[target % entries.length]
    );
  }

  /** Random choices of a fault, which are the same in each play. */
  function getRandom({target, amount}: Fault): Random {
    return createRandom(target * MAX_AMOUNT + amount);
  }

  async function startAway(fault: Fault): Promise<void> {
    const entry = pickEntry(fault);
    const link = site.links[LinkKind.Store][entry.index];
    const kinds = [FaultKind.Reset, FaultKind.Silence, FaultKind.CutAnswers];
    const kind = kinds[fault.amount % kinds.length];
    await Promise.all([
      revival.kill(entry, 0),
      hold(fault, 'link', [link], (each, on) =>
        each.setFault(on ? kind : undefined),
      ),
    ]);
  }

  async function addEntry(fault: Fault): Promise<void> {
    const entry = await site.addEntry();
    await revival.revive(entry, 0);
    await delay(fault.forMs);
    await watchStop(entry, () => revival.end(entry));
    await entry.dispose();
  }

  async function writeForeignEntries(fault: Fault): Promise<void> {
    const entries = drawForeignEntries(getRandom(fault));
    const keys = [...entries.keys()];
    for (const [key, value] of entries) {
      keyValue.swap({key, value, expectedVersion: 0});
    }
    await delay(fault.forMs);
    keyValue.transact({conditions: new Map(), puts: [], removals: keys});
  }

  function callBadly(fault: Fault): Promise<void> {
    const random = getRandom(fault);
    const {ip} = pickEntry(fault);
    return playBadCallers(random, ip, PORTS, fault.forMs);
  }

  async function stop(fault: Fault): Promise<void> {
    const entry = pickEntry(fault);
    await watchStop(entry, () => revival.stop(entry, fault.forMs / 4));
  }

  /** Checks that a process ends in time once it is asked to. */
  async function watchStop(
    {label}: Entry,
    end: () => Promise<boolean>,
  ): Promise<void> {
    const sentAt = performance.now();
    const ended = await end();
    const fromMs = sentAt - BOUNDS.contactMs;
    const toMs = sentAt + BOUNDS.graceMs;
    if (ended || !disturbances.isCalm(fromMs, toMs)) return;
    const detail = `still there ${BOUNDS.graceMs} ms after SIGTERM`;
    verdict.report(Check.PlannedStop, label, detail);
  }

  async function freeze(fault: Fault): Promise<void> {
    const entry = pickEntry(fault);
    const {incarnation} = entry;
    entry.signal('SIGSTOP');
    await delay(fault.forMs);
    if (entry.incarnation === incarnation) entry.signal('SIGCONT');
  }

  async function starve(fault: Fault): Promise<void> {
    const random = getRandom(fault);
    const endsAt = performance.now() + fault.forMs;
    while (performance.now() < endsAt) {
      await freeze({...fault, forMs: random.between(20, 400)});
      await delay(random.between(50, 800));
    }
  }

  async function cutPower({forMs}: Fault): Promise<void> {
    const now = performance.now();
    const isNew = ({acceptedAt = 0}: Submission) => acceptedAt > now;
    while (![...submissions.values()].some(isNew)) {
      if (performance.now() > now + ACCEPT_WAIT_MS) break;
      await delay(ACCEPT_POLL_MS);
    }
    const running = site.listEntries().filter(entry => entry.isRunning());
    await Promise.all(running.map(entry => revival.kill(entry, forMs / 4)));
  }

  async function reload(fault: Fault): Promise<void> {
    const entry = pickEntry(fault);
    // A process that has not started yet has nothing to read again.
    if (await entry.isReady()) entry.reload();
  }

  function pickMachine({target}: Fault): string {
    return `machine-${(target % site.hostCount) + 1}`;
  }

  async function crashHost(
    machine: string,
    pauseMs: number,
    start: (machine: string) => void,
  ): Promise<void> {
    if (!fleet.getHost(machine)) return;
    fleet.crash(machine, false);
    await delay(pauseMs);
    const isDown = fleet.machines.get(machine)?.state === MachineState.Down;
    if (isDown) start(machine);
  }

  /** The host gives its own birth, the same as before, or none. */
  function restartHost(fault: Fault): Promise<void> {
    const machine = pickMachine(fault);
    const births = [undefined, fleet.getHost(machine)?.host.bornAt, 0];
    const bornAt = births[fault.amount % births.length];
    return crashHost(machine, fault.forMs / RESTART_PAUSE_DIVISOR, () =>
      fleet.restart(machine, false, bornAt),
    );
  }

  async function lapseEntry(fault: Fault): Promise<void> {
    const machine = pickMachine(fault);
    const model = fleet.getHost(machine);
    const key = `${REGISTRY_PREFIX}${model?.host.id}`;
    const entry = keyValue.get(key);
    if (!entry) return;
    keyValue.swap({key, expectedVersion: entry.version, value: undefined});
    await delay(fault.forMs);
    if (fault.amount % NEVER_BACK === 0) return;
    if (fleet.getHost(machine) !== model) return;
    keyValue.swap({key, expectedVersion: 0, value: entry.value});
  }

  /** Orders are carried out after half of the fault's duration. */
  function delayOrders(fault: Fault): Promise<void> {
    return hold(fault, FaultKind.LateOrders, [fleet.faults], (faults, on) => {
      const share = on ? fault.amount / PERCENT : 0;
      faults.delayedOrders = {share, afterMs: fault.forMs / 2};
      faults.ordersOutliveHosts = fault.kind === FaultKind.OutlivingOrders;
    });
  }

  async function drainHost(fault: Fault): Promise<void> {
    const machine = pickMachine(fault);
    const host = fleet.getHost(machine);
    fleet.announceDraining(machine);
    await delay(BOUNDS.drainMs + fault.forMs);
    if (host && fleet.getHost(machine) === host) {
      await crashHost(machine, HOST_RESTART_MS, fleet.boot);
    }
  }

  async function spoilHost(fault: Fault): Promise<void> {
    const faults = fleet.getHost(pickMachine(fault))?.faults;
    if (!faults) return;
    const hangs = fault.kind === FaultKind.HostHang;
    await hold(fault, 'host', [faults], (target, on) => {
      target.hanging = on && hangs;
      target.failing = on && !hangs;
    });
  }

  function declareWave({target}: Fault): void {
    const last = operator.waves[operator.waves.length - 1];
    const isUnderWay =
      last && platform.readWaveState(last.wave) !== 'completed';
    if (isUnderWay) return;
    const pools = [...POOLS.keys()];
    const pool = pools[target % pools.length];
    operator.declareWave(pool, (target % WAVE_CAP) + 1);
  }

  async function apply(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case FaultKind.Terminate:
        return stop(fault);
      case FaultKind.Kill:
        return revival.kill(pickEntry(fault), fault.forMs / 2);
      case FaultKind.Freeze:
        return freeze(fault);
      case FaultKind.Starve:
        return starve(fault);
      case FaultKind.PowerCut:
        return cutPower(fault);
      case FaultKind.Reload:
        return reload(fault);
      case FaultKind.SlowStore:
        return holdStores(fault, (faults, on) => {
          faults.slowMs = on ? fault.amount : 0;
        });
      case FaultKind.LostWrites:
        return holdStores(fault, (faults, on) => {
          faults.lostWrites = on ? fault.amount / PERCENT : 0;
        });
      case FaultKind.TurnedAway:
        return holdStores(fault, (faults, on) => {
          faults.turnedAway = on;
        });
      case FaultKind.DroppedHistory:
        return keyValue.compact();
      case FaultKind.RevokedLease:
        return keyValue.revokeLease(keyValue.get(LEADER_KEY)?.leaseId ?? '');
      case FaultKind.HostCrash:
        return crashHost(pickMachine(fault), fault.forMs, fleet.boot);
      case FaultKind.HostRestart:
        return restartHost(fault);
      case FaultKind.HostDrain:
        return drainHost(fault);
      case FaultKind.HostHang:
      case FaultKind.HostErrors:
        return spoilHost(fault);
      case FaultKind.Settings:
      case FaultKind.SettingsAtStart:
      case FaultKind.SignalAtStart:
      case FaultKind.Overlap:
      case FaultKind.Output:
        return applyStartFault(fault, pickEntry(fault), revival);
      case FaultKind.StartAway:
        return startAway(fault);
      case FaultKind.AddEntry:
        return addEntry(fault);
      case FaultKind.ForeignEntries:
        return writeForeignEntries(fault);
      case FaultKind.BadCallers:
        return callBadly(fault);
      case FaultKind.LateOrders:
      case FaultKind.OutlivingOrders:
        return delayOrders(fault);
      case FaultKind.LapsedEntry:
        return lapseEntry(fault);
      case FaultKind.Configure:
        return operator.configure();
      case FaultKind.Grow:
        return operator.grow(fault.amount);
      case FaultKind.Wave:
        return declareWave(fault);
      default:
        return holdLinks(fault);
    }
  }

  return async fault => {
    const end = disturbances.begin(fault.kind);
    await apply(fault);
    end();
  };
}
