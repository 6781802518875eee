import fc from 'fast-check';
import {RunViolationKind} from '../../src/history/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {MachineState, TaskEndKind} from '../../src/types/workflow';
import {advance, advanceUntil} from '../support/paused_clock';
import {
  WorkflowWorld,
  createSpec,
  createStep,
  createWorkflowWorld,
} from './workflow_world';

/** Findings in random histories of services whose tasks are moved. */
export interface AvailabilityReport {
  /** Number of events by what the histories have to contain. */
  readonly counts: Readonly<
    Record<'stops' | 'leaving' | 'upkeeps' | 'takeovers', number>
  >;
  /** Violations, and services that weren't whole again in time. */
  readonly findings: readonly string[];
}

enum ActionKind {
  Wave = 'wave',
  /** A host announces that it leaves, and is gone after the notice. */
  Leave = 'leave',
  /** Hosts take different times to stop a run. */
  ChangeStopTimes = 'change-stop-times',
  Crash = 'crash',
  SilenceHost = 'silence-host',
  KillLeader = 'kill-leader',
  /** The leader goes on, but doesn't reach the store. */
  CutLeaderFromStore = 'cut-leader-from-store',
  LoseAnswers = 'lose-answers',
  DelayOrders = 'delay-orders',
  Heal = 'heal',
}

const HOST_COUNT = 10;
/** Time in ms from the notice of a host that leaves until it is gone. */
const NOTICE_MS = 2_000;
/** Time in ms for which a leader is cut off from the store at least. */
const CUT_MS = 1_500;
const MAX_STOP_MS = 400;
const STARTUP_MS = 700;
/** Time in ms within which services must be whole once all faults are over. */
const RECOVERY_MS = 25_000;
/** Time in ms in which a task that is being moved runs again. */
const MOVE_MS = 5_000;

const generateStep = fc.record({
  kind: fc.constantFrom(
    ActionKind.Wave,
    ActionKind.Leave,
    ActionKind.Leave,
    ...Object.values(ActionKind),
  ),
  which: fc.nat(1_000),
  machineCount: fc.integer({min: 1, max: 6}),
  lengthMs: fc.integer({min: 50, max: 2_500}),
  pauseMs: fc.integer({min: 0, max: 1_500}),
});

type HistoryStep =
  typeof generateStep extends fc.Arbitrary<infer T> ? T : never;

/**
 * Plays random histories of waves, leaving hosts, lost and late orders and
 * leaders, and checks from the events of the hosts that no order exceeds the
 * number of a step's tasks that may be away.
 */
export async function playAvailability(
  count: number,
  length: number,
  seed: number,
): Promise<AvailabilityReport> {
  const counts = {stops: 0, leaving: 0, upkeeps: 0, takeovers: 0};
  const findings: string[] = [];
  const histories = fc.sample(
    fc.array(generateStep, {minLength: length, maxLength: length}),
    {numRuns: count, seed},
  );
  for (const [number, steps] of histories.entries()) {
    const world = await createWorkflowWorld(3, HOST_COUNT, 2);
    const services = [await submit(world, 7, 1), await submit(world, 9, 3)];
    await advance(4_000);
    for (const [index, step] of steps.entries()) {
      if (step.kind === ActionKind.KillLeader) counts.takeovers += 1;
      await play(world, step, index + 1);
      await advance(step.pauseMs);
    }
    heal(world);
    await advance(RECOVERY_MS);
    const name = `seed ${seed}/${number}`;
    for (const {kind, subject, at} of world.check()) {
      if (kind !== RunViolationKind.Unavailable) continue;
      findings.push(`${name}: ${kind} ${subject} ${at}`);
    }
    for (const {id, taskCount} of services) {
      const isWhole = () => countRuns(world, id) === taskCount;
      await advanceUntil(isWhole, MOVE_MS).catch(() => {
        findings.push(`${name}: ${id} is not whole`);
      });
    }
    for (const {kind, how, task} of world.fleet.events) {
      if (kind === FleetEventKind.Leaving) counts.leaving += 1;
      if (how === TaskEndKind.Stopped) counts.stops += 1;
      if (task.startsWith(MachineState.Maintenance)) counts.upkeeps += 1;
    }
    world.dispose();
  }
  return {counts, findings};
}

async function submit(
  world: WorkflowWorld,
  taskCount: number,
  mayMiss: number,
): Promise<{readonly id: string; readonly taskCount: number}> {
  const {id} = await world.submit(world.members[0], {
    spec: createSpec({lasting: true, startupMs: STARTUP_MS}),
    steps: [createStep({taskCount, perHostLimit: 2, lasting: true, mayMiss})],
  });
  return {id, taskCount};
}

function countRuns({fleet}: WorkflowWorld, id: string): number {
  return [...fleet.machines.keys()].reduce((sum, machine) => {
    const runs = fleet.getHost(machine)?.listRuns() ?? [];
    return sum + runs.filter(run => run.startsWith(id)).length;
  }, 0);
}

async function play(
  world: WorkflowWorld,
  {kind, which, machineCount, lengthMs}: HistoryStep,
  number: number,
): Promise<void> {
  const {fleet} = world;
  const machines = [...fleet.machines.keys()];
  const machine = machines[which % machines.length];
  const host = fleet.getHost(machine);
  const leader = world.getLeader();
  switch (kind) {
    case ActionKind.Wave:
      world.declareWave({
        number,
        machines: machines.filter((_, index) => (index + which) % 3 > 0),
        durationMs: 20_000,
        limit: machineCount,
      });
      return;
    case ActionKind.Leave:
      if (!host) return;
      fleet.announceDraining(machine);
      setTimeout(() => leave(world, machine, host.host.id), NOTICE_MS);
      return;
    case ActionKind.ChangeStopTimes:
      for (const {faults} of fleet.hosts.values()) {
        faults.stopMs = Math.round(Math.random() * MAX_STOP_MS);
      }
      return;
    case ActionKind.Crash:
      if (!host) return;
      fleet.crash(machine, false);
      setTimeout(() => fleet.boot(machine), lengthMs);
      return;
    case ActionKind.SilenceHost:
      if (!host) return;
      fleet.faults.silent.add(host.host.id);
      setTimeout(() => fleet.faults.silent.delete(host.host.id), lengthMs);
      return;
    case ActionKind.KillLeader:
      if (!leader) return;
      world.kill(leader);
      world.addMember();
      return;
    case ActionKind.CutLeaderFromStore:
      if (!leader?.alive) return;
      leader.faults.down = true;
      setTimeout(() => {
        leader.faults.down = !leader.alive;
      }, lengthMs + CUT_MS);
      return;
    case ActionKind.LoseAnswers:
      fleet.faults.lostAnswers = 0.3;
      return;
    case ActionKind.DelayOrders:
      fleet.faults.delayedOrders = {share: 0.2, afterMs: lengthMs};
      return;
    case ActionKind.Heal:
      return heal(world);
  }
}

/** A host that has left is replaced by a new one on its machine. */
function leave({fleet}: WorkflowWorld, machine: string, hostId: string): void {
  if (fleet.getHost(machine)?.host.id !== hostId) return;
  fleet.crash(machine, false);
  fleet.boot(machine);
}

function heal({fleet}: WorkflowWorld): void {
  fleet.faults.silent.clear();
  fleet.faults.lostAnswers = 0;
  fleet.faults.delayedOrders = {share: 0, afterMs: 0};
}
