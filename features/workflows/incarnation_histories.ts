import fc from 'fast-check';
import {SubmitOutcome} from '../../src/actors/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {advance, stepWallClock} from '../support/paused_clock';
import {
  WorkflowWorld,
  createSpec,
  createStep,
  createWorkflowWorld,
} from './workflow_world';

/** Findings in random histories of hosts that restart under their ids. */
export interface IncarnationReport {
  readonly restarts: number;
  readonly takeovers: number;
  readonly outages: number;
  readonly starts: number;
  /** Violations, and accepted workflows that have not ended in time. */
  readonly findings: readonly string[];
}

enum ActionKind {
  Submit = 'submit',
  /** A host crashes and starts again under its id. */
  Restart = 'restart',
  /** The same, at another address. */
  Move = 'move',
  /** The same, with a wall clock that was set back. */
  RestartEarlier = 'restart-earlier',
  /** The same, with the birth that it had before. */
  RestartSame = 'restart-same',
  /** The same, without telling its birth. */
  RestartUntold = 'restart-untold',
  /** A host crashes and is back at once, and work arrives. */
  RestartAtOnce = 'restart-at-once',
  /** A host does not answer. */
  Silence = 'silence',
  SlowStore = 'slow-store',
  StoreDown = 'store-down',
  KillLeader = 'kill-leader',
  DelayOrders = 'delay-orders',
  LoseAnswers = 'lose-answers',
  Heal = 'heal',
}

interface AcceptedWorkflow {
  readonly id: string;
  /** Monotonic time in ms of its acceptance. */
  readonly at: number;
}

const HOST_COUNT = 3;
/** Workflows that give each host many ends before its first restart. */
const FIRST_WORKFLOWS = 8;
const FIRST_TASKS = 6;
/** Time in ms within which work must end once all faults are over. */
const RECOVERY_MS = 30_000;

const generateStep = fc.record({
  kind: fc.constantFrom(
    ActionKind.Submit,
    ActionKind.Submit,
    ActionKind.Restart,
    ActionKind.SlowStore,
    ...Object.values(ActionKind),
  ),
  which: fc.nat(1_000),
  taskCount: fc.integer({min: 1, max: 8}),
  workMs: fc.integer({min: 20, max: 3_000}),
  downMs: fc.integer({min: 0, max: 1_500}),
  pauseMs: fc.integer({min: 0, max: 1_200}),
});

type HistoryStep =
  typeof generateStep extends fc.Arbitrary<infer T> ? T : never;

/** Plays random histories and checks that no end is lost and none is ignored. */
export async function playIncarnations(
  count: number,
  length: number,
  seed: number,
): Promise<IncarnationReport> {
  const report = {restarts: 0, takeovers: 0, outages: 0, starts: 0};
  const findings: string[] = [];
  const histories = fc.sample(
    fc.array(generateStep, {minLength: length, maxLength: length}),
    {numRuns: count, seed},
  );
  for (const [number, steps] of histories.entries()) {
    const world = await createWorkflowWorld(3, HOST_COUNT);
    const accepted: AcceptedWorkflow[] = [];
    for (let index = 0; index < FIRST_WORKFLOWS; index += 1) {
      accepted.push(...(await submit(world, FIRST_TASKS, 50)));
    }
    await advance(2_000);
    for (const step of steps) {
      accepted.push(...(await play(world, step)));
      await advance(step.pauseMs);
    }
    heal(world);
    for (const machine of world.fleet.machines.keys()) {
      if (!world.fleet.getHost(machine)) world.fleet.restart(machine);
    }
    await advance(RECOVERY_MS);
    const found = [
      ...world.check().map(({kind, subject, at}) => `${kind} ${subject} ${at}`),
      ...(await findUnfinished(world, accepted)),
    ];
    findings.push(...found.map(each => `seed ${seed}/${number}: ${each}`));
    for (const {kind} of world.fleet.events) {
      if (kind === FleetEventKind.Start) report.starts += 1;
      if (kind === FleetEventKind.Boot) report.restarts += 1;
    }
    report.restarts -= HOST_COUNT;
    report.takeovers += world.members.filter(({alive}) => !alive).length;
    report.outages += steps.filter(
      ({kind}) => kind === ActionKind.StoreDown,
    ).length;
    world.dispose();
  }
  return {...report, findings};
}

async function submit(
  world: WorkflowWorld,
  taskCount: number,
  workMs: number,
): Promise<readonly AcceptedWorkflow[]> {
  const member = world.members.find(each => each.alive && !each.faults.down);
  if (!member) return [];
  const {id, outcome} = await world.submit(member, {
    spec: createSpec({workMs}),
    steps: [createStep({taskCount, estimateMs: workMs})],
  });
  const at = performance.now();
  return outcome === SubmitOutcome.Accepted ? [{id, at}] : [];
}

async function play(
  world: WorkflowWorld,
  {kind, which, taskCount, workMs, downMs}: HistoryStep,
): Promise<readonly AcceptedWorkflow[]> {
  const {fleet} = world;
  const machines = [...fleet.machines.keys()];
  const machine = machines[which % machines.length];
  switch (kind) {
    case ActionKind.Submit:
      return submit(world, taskCount, workMs);
    case ActionKind.RestartEarlier:
      stepWallClock(-60_000);
      await restart(world, machine, downMs, false);
      stepWallClock(60_000);
      break;
    case ActionKind.Restart:
    case ActionKind.Move:
      await restart(world, machine, downMs, kind === ActionKind.Move);
      break;
    case ActionKind.RestartSame: {
      const bornAt = fleet.getHost(machine)?.host.bornAt;
      await restart(world, machine, downMs, false, bornAt);
      break;
    }
    case ActionKind.RestartUntold:
      await restart(world, machine, downMs, false, 0);
      break;
    case ActionKind.RestartAtOnce:
      await restart(world, machine, downMs / 50, false);
      return submit(world, taskCount, workMs / 10);
    case ActionKind.Silence:
      fleet.faults.silent.add(fleet.getHost(machine)?.host.id ?? '');
      break;
    case ActionKind.SlowStore:
      for (const {faults} of world.members) faults.slowMs = downMs;
      break;
    case ActionKind.StoreDown:
      for (const {faults} of world.members) faults.down = true;
      await advance(downMs * 2);
      for (const {faults, alive} of world.members) faults.down = !alive;
      break;
    case ActionKind.KillLeader: {
      const leader = world.getLeader();
      if (!leader?.alive) break;
      world.addMember();
      world.kill(leader);
      break;
    }
    case ActionKind.DelayOrders:
      fleet.faults.delayedOrders = {share: 0.3, afterMs: downMs};
      fleet.faults.ordersOutliveHosts = true;
      break;
    case ActionKind.LoseAnswers:
      fleet.faults.lostAnswers = 0.3;
      fleet.faults.lostHolds = 0.3;
      break;
    case ActionKind.Heal:
      heal(world);
      break;
  }
  return [];
}

async function restart(
  {fleet}: WorkflowWorld,
  machine: string,
  downMs: number,
  moved: boolean,
  bornAt?: number,
): Promise<void> {
  if (!fleet.getHost(machine)) return;
  fleet.crash(machine, false);
  await advance(downMs);
  fleet.restart(machine, moved, bornAt);
}

function heal({fleet, members}: WorkflowWorld): void {
  fleet.faults.silent.clear();
  fleet.faults.delayedOrders = {share: 0, afterMs: 0};
  fleet.faults.lostAnswers = 0;
  fleet.faults.lostHolds = 0;
  for (const {faults} of members) faults.slowMs = 0;
}

/** Tasks may be given up only if hosts have crashed repeatedly since. */
async function findUnfinished(
  {fleet, readState}: WorkflowWorld,
  accepted: readonly AcceptedWorkflow[],
): Promise<readonly string[]> {
  const findings: string[] = [];
  for (const {id, at} of accepted) {
    const state = await readState(id);
    if (state === 'completed') continue;
    const crashes = fleet.events.filter(
      event => event.kind === FleetEventKind.Boot && event.at > at,
    );
    if (state === 'failed' && crashes.length > 1) continue;
    findings.push(`${id} is ${state}`);
  }
  return findings;
}
