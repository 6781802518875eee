import fc from 'fast-check';
import {WorkflowDraft} from '../../src/actors/workflows';
import {Capacity, Organisation} from '../../src/types/workflow';
import {advance} from '../support/paused_clock';
import {CapChange, findCapBreaks} from './cap_history';
import {
  ADVISED_QUEUE,
  FIRST_VERSION,
  QUEUE,
  WorkflowWorld,
  createSpec,
  createStep,
  createWorkflowWorld,
} from './workflow_world';

/** Results of random histories of small deployments. */
export interface HistoryReport {
  /** Number of events of the fleets by kind. */
  readonly events: Readonly<Record<string, number>>;
  readonly takeovers: number;
  /** Starts above a cap. */
  readonly breaks: readonly string[];
}

enum ActionKind {
  Submit = 'submit',
  Cancel = 'cancel',
  Cap = 'cap',
  KillLeader = 'kill-leader',
  Silence = 'silence',
  Restart = 'restart',
  DelayOrders = 'delay-orders',
  LoseAnswers = 'lose-answers',
  Heal = 'heal',
}

const ORGANISATION = 'acme';
const HOST_COUNT = 4;
const TASK_CPU_MILLIS = [500, 1_000, 3_000];

const generateStep = fc.record({
  kind: fc.constantFrom(
    ActionKind.Submit,
    ActionKind.Submit,
    ActionKind.Submit,
    ...Object.values(ActionKind),
  ),
  which: fc.nat(1_000),
  taskCount: fc.integer({min: 1, max: 12}),
  workMs: fc.integer({min: 100, max: 4_000}),
  cap: fc.integer({min: 1, max: 16}),
  gang: fc.nat(5),
  pauseMs: fc.integer({min: 0, max: 1_500}),
});

type HistoryStep =
  typeof generateStep extends fc.Arbitrary<infer T> ? T : never;

/** Plays random histories and checks what ran at every start. */
export async function playHistories(
  count: number,
  length: number,
  seed: number,
): Promise<HistoryReport> {
  const events: Record<string, number> = {};
  const breaks: string[] = [];
  let takeovers = 0;
  const histories = fc.sample(
    fc.array(generateStep, {minLength: length, maxLength: length}),
    {numRuns: count, seed},
  );
  for (const [number, steps] of histories.entries()) {
    const world = await createWorkflowWorld(3, HOST_COUNT);
    const changes: CapChange[] = [];
    changeCap(world, changes, 6);
    await advance(300);
    for (const step of steps) {
      if (step.kind === ActionKind.KillLeader) takeovers += 1;
      await play(world, changes, step);
      await advance(step.pauseMs);
    }
    heal(world);
    await advance(10_000);
    for (const {kind} of world.fleet.events) {
      events[kind] = (events[kind] ?? 0) + 1;
    }
    const found = findCapBreaks(world, changes);
    breaks.push(...found.map(each => `history ${number}: ${each}`));
    world.dispose();
  }
  return {events, takeovers, breaks};
}

async function play(
  world: WorkflowWorld,
  changes: CapChange[],
  {kind, which, taskCount, workMs, cap, gang}: HistoryStep,
): Promise<void> {
  const {fleet} = world;
  const machines = [...fleet.machines.keys()];
  const machine = machines[which % machines.length];
  const member = world.members.find(each => each.alive);
  if (!member) return;
  switch (kind) {
    case ActionKind.Submit: {
      const isGang = gang === 0;
      const cpuMillis = TASK_CPU_MILLIS[which % TASK_CPU_MILLIS.length];
      const gangSize = isGang ? taskCount : undefined;
      const draft: Partial<WorkflowDraft> & {organisation: string} = {
        organisation: ORGANISATION,
        spec: createSpec({workMs, cpuMillis, gangSize}),
        steps: [createStep({taskCount, cpuMillis, gang: isGang})],
      };
      return void (await world.submit(member, draft));
    }
    case ActionKind.Cancel: {
      const ids = [...world.workflows.keys()];
      if (ids.length === 0) return;
      return world.cancel(member, ids[which % ids.length]);
    }
    case ActionKind.Cap:
      return changeCap(world, changes, cap);
    case ActionKind.KillLeader: {
      const leader = world.getLeader();
      if (!leader) return;
      world.addMember();
      return world.kill(leader);
    }
    case ActionKind.Silence:
      return void fleet.faults.silent.add(
        fleet.getHost(machine)?.host.id ?? '',
      );
    case ActionKind.Restart: {
      const count = (id: string) => fleet.getHost(id)?.listRuns().length ?? 0;
      const [busiest] = machines.sort((x, y) => count(y) - count(x));
      // A machine that is being moved has no host and boots one by itself.
      if (!fleet.getHost(busiest)) return;
      fleet.crash(busiest, false);
      return fleet.boot(busiest);
    }
    case ActionKind.DelayOrders:
      fleet.faults.delayedOrders = {share: 0.4, afterMs: 2_500};
      return;
    case ActionKind.LoseAnswers:
      fleet.faults.lostAnswers = 0.4;
      fleet.faults.lostHolds = 0.2;
      return;
    case ActionKind.Heal:
      return heal(world);
  }
}

function heal({fleet}: WorkflowWorld): void {
  fleet.faults.silent.clear();
  fleet.faults.delayedOrders = {share: 0, afterMs: 0};
  fleet.faults.lostAnswers = 0;
  fleet.faults.lostHolds = 0;
}

function changeCap(
  world: WorkflowWorld,
  changes: CapChange[],
  processors: number,
): void {
  const cap: Capacity = {
    cpuMillis: processors * 1_000,
    memoryMb: 0,
    accelerators: 0,
  };
  changes.push({organisation: ORGANISATION, cap, at: performance.now()});
  const organisation: Organisation = {
    name: ORGANISATION,
    keyDigests: [],
    priority: 0,
    weight: 1,
    cap,
  };
  const version = FIRST_VERSION + changes.length;
  world.configure(version, [QUEUE, ADVISED_QUEUE], [organisation]);
}
