import fc from 'fast-check';
import {SubmitOutcome} from '../../src/actors/workflows';
import {HostAddress} from '../../src/ports/hosts';
import {FLEET_REGISTRY_PREFIX, FleetEventKind} from '../../src/stand_ins/fleet';
import {delay} from '../../src/state';
import {advance} from '../support/paused_clock';
import {
  WorkflowWorld,
  createSpec,
  createStep,
  createWorkflowWorld,
} from './workflow_world';

/** Findings in random histories of hosts, leaders and stores that are lost. */
export interface GivenUpReport {
  /** Number of events of the fleets by kind. */
  readonly events: Readonly<Record<string, number>>;
  /** Number of actions by kind. */
  readonly actions: Readonly<Record<string, number>>;
  /** Violations, and accepted workflows that have not ended in time. */
  readonly findings: readonly string[];
}

enum ActionKind {
  Submit = 'submit',
  /** Two outages of the store with lapsed entries and restarts of hosts. */
  Outages = 'outages',
  /** The registered entries are removed and come back late. */
  LapseEntries = 'lapse-entries',
  /** A host restarts just before its next start and falls silent. */
  RestartAtStart = 'restart-at-start',
  Restart = 'restart',
  SilenceHost = 'silence-host',
  SilenceAll = 'silence-all',
  /** The leader reads answers late, while its timers go on. */
  StarveLeader = 'starve-leader',
  /** The leader reaches no host. */
  CutLeader = 'cut-leader',
  KillLeader = 'kill-leader',
  SlowStore = 'slow-store',
  LoseAnswers = 'lose-answers',
  /** Orders are carried out late by the same incarnation. */
  DelayOrders = 'delay-orders',
  Heal = 'heal',
}

const HOST_COUNT = 4;
/** Time in ms before the first action, in which the clocks of hosts advance. */
const WARM_UP_MS = 15_000;
/** Time in ms from one outage to the next. */
const OUTAGE_INTERVAL_MS = 6_000;
/** Time in ms within which work must end once all faults are over. */
const RECOVERY_MS = 40_000;
/** Time in ms in which a call and its answer arrive. */
const CALL_MS = 3;

const generateStep = fc.record({
  kind: fc.constantFrom(
    ActionKind.Submit,
    ActionKind.Submit,
    ActionKind.Submit,
    ActionKind.RestartAtStart,
    ...Object.values(ActionKind),
  ),
  which: fc.nat(1_000),
  taskCount: fc.integer({min: 1, max: 8}),
  workMs: fc.integer({min: 20, max: 9_500}),
  lengthMs: fc.integer({min: 20, max: 9_500}),
  pauseMs: fc.integer({min: 0, max: 2_000}),
});

type HistoryStep =
  typeof generateStep extends fc.Arbitrary<infer T> ? T : never;

/**
 * Plays random histories and checks that no run that is given up can execute,
 * and that each discarded end is stored.
 */
export async function playGivenUp(
  count: number,
  length: number,
  seed: number,
): Promise<GivenUpReport> {
  const events: Record<string, number> = {};
  const actions: Record<string, number> = {};
  const findings: string[] = [];
  const histories = fc.sample(
    fc.array(generateStep, {minLength: length, maxLength: length}),
    {numRuns: count, seed},
  );
  for (const [number, steps] of histories.entries()) {
    const world = await createWorkflowWorld(3, HOST_COUNT);
    const accepted: string[] = [];
    await advance(WARM_UP_MS);
    for (const step of steps) {
      actions[step.kind] = (actions[step.kind] ?? 0) + 1;
      await play(world, step, accepted);
      await advance(step.pauseMs);
    }
    await heal(world);
    await advance(RECOVERY_MS);
    const found = world
      .check()
      .map(({kind, subject, at}) => `${kind} ${subject} ${at}`);
    for (const id of accepted) {
      const state = await world.readState(id);
      if (!isExpected(world, state)) found.push(`${id} is ${state}`);
    }
    findings.push(...found.map(each => `seed ${seed}/${number}: ${each}`));
    for (const {kind} of world.fleet.events) {
      events[kind] = (events[kind] ?? 0) + 1;
    }
    world.dispose();
  }
  return {events, actions, findings};
}

/** Tasks may be given up if hosts have crashed under them. */
function isExpected(
  {fleet}: WorkflowWorld,
  state: string | undefined,
): boolean {
  if (state === 'completed') return true;
  const boots = fleet.events.filter(({kind}) => kind === FleetEventKind.Boot);
  return state === 'failed' && boots.length > HOST_COUNT + 1;
}

async function play(
  world: WorkflowWorld,
  {kind, which, taskCount, workMs, lengthMs}: HistoryStep,
  accepted: string[],
): Promise<void> {
  const {fleet, members} = world;
  const machines = [...fleet.machines.keys()];
  const machine = machines[which % machines.length];
  const hostId = fleet.getHost(machine)?.host.id ?? '';
  const leader = world.getLeader();
  switch (kind) {
    case ActionKind.Submit: {
      const member = members.find(each => each.alive && !each.faults.down);
      if (!member) return;
      const {id, outcome} = await world.submit(member, {
        spec: createSpec({workMs}),
        steps: [createStep({taskCount, estimateMs: workMs})],
      });
      if (outcome === SubmitOutcome.Accepted) accepted.push(id);
      return;
    }
    case ActionKind.Outages:
      for (let outage = 0; outage < 2; outage += 1) {
        setDown(world, true);
        lapseEntries(world, lengthMs + (which % 2_000));
        for (const each of machines.filter((_, i) => (which >> i) % 2 === 1)) {
          restart(world, each);
        }
        await advance(lengthMs);
        setDown(world, false);
        await advance(Math.max(0, OUTAGE_INTERVAL_MS - lengthMs));
      }
      return;
    case ActionKind.LapseEntries:
      return lapseEntries(world, lengthMs);
    case ActionKind.RestartAtStart:
      return restartAtStart(world, which % 2 === 0, lengthMs);
    case ActionKind.Restart:
      return restart(world, machine);
    case ActionKind.SilenceHost:
      fleet.faults.silent.add(hostId);
      return;
    case ActionKind.SilenceAll:
      for (const id of fleet.hosts.keys()) fleet.faults.silent.add(id);
      return;
    case ActionKind.StarveLeader:
      if (leader) {
        leader.callFaults.answerDelayMs = lengthMs / 4;
        void delay(lengthMs).then(() => (leader.callFaults.answerDelayMs = 0));
      }
      return;
    case ActionKind.CutLeader:
      if (leader?.alive) {
        leader.cutFromHosts = true;
        void delay(lengthMs).then(() => (leader.cutFromHosts = !leader.alive));
      }
      return;
    case ActionKind.KillLeader:
      if (!leader?.alive) return;
      world.addMember();
      return world.kill(leader);
    case ActionKind.SlowStore:
      for (const {faults} of members) faults.slowMs = lengthMs / 10;
      return;
    case ActionKind.LoseAnswers:
      fleet.faults.lostAnswers = 0.3;
      fleet.faults.lostHolds = 0.3;
      for (const {faults} of members) faults.lostAnswers = 0.2;
      return;
    case ActionKind.DelayOrders:
      fleet.faults.delayedOrders = {share: 0.3, afterMs: lengthMs};
      return;
    case ActionKind.Heal:
      return heal(world);
  }
}

function setDown({members}: WorkflowWorld, down: boolean): void {
  for (const {faults, alive} of members) faults.down = down || !alive;
}

function restart({fleet}: WorkflowWorld, machine: string): void {
  if (!fleet.getHost(machine)) return;
  fleet.crash(machine, false);
  fleet.restart(machine);
}

/** Removes the entries of all live hosts for some time in ms. */
function lapseEntries(
  {fleet, keyValue}: WorkflowWorld,
  lengthMs: number,
): void {
  for (const {host} of fleet.hosts.values()) {
    const key = `${FLEET_REGISTRY_PREFIX}${host.id}`;
    const entry = keyValue.get(key);
    if (!entry) continue;
    keyValue.swap({key, expectedVersion: entry.version, value: undefined});
    void delay(lengthMs).then(() => {
      const current = fleet.hosts.get(host.id)?.host;
      const isUp = fleet.getHost(host.machine)?.host === current;
      if (!isUp || keyValue.get(key)) return;
      const value = JSON.stringify(current);
      keyValue.swap({key, expectedVersion: 0, value});
    });
  }
}

function restartAtStart(
  world: WorkflowWorld,
  isLost: boolean,
  silentMs: number,
): void {
  const {fleet, members} = world;
  const clear = () => {
    for (const {callFaults} of members) callFaults.onCall = () => {};
  };
  for (const {callFaults} of members) {
    callFaults.onCall = (call, [host]) => {
      if (call !== 'start') return;
      clear();
      const {id} = host as HostAddress;
      restart(world, fleet.hosts.get(id)?.host.machine ?? '');
      const {lostAnswers} = fleet.faults;
      if (isLost) fleet.faults.lostAnswers = 1;
      void delay(CALL_MS).then(async () => {
        fleet.faults.lostAnswers = lostAnswers;
        fleet.faults.silent.add(id);
        await delay(silentMs);
        fleet.faults.silent.delete(id);
      });
    };
  }
}

async function heal(world: WorkflowWorld): Promise<void> {
  const {fleet, members} = world;
  fleet.faults.silent.clear();
  fleet.faults.delayedOrders = {share: 0, afterMs: 0};
  fleet.faults.lostAnswers = 0;
  fleet.faults.lostHolds = 0;
  setDown(world, false);
  for (const member of members) {
    member.faults.slowMs = 0;
    member.faults.lostAnswers = 0;
    member.callFaults.answerDelayMs = 0;
    member.callFaults.onCall = () => {};
    member.cutFromHosts = !member.alive;
  }
  for (const machine of fleet.machines.keys()) {
    if (!fleet.getHost(machine)) fleet.restart(machine);
  }
}
