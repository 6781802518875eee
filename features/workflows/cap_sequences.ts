import fc from 'fast-check';
import {
  TaskRecord,
  createOrganisationUsage,
  createStartLimit,
  createWorkflowRecord,
  getGroup,
} from '../../src/decisions/workflows';
import {Capacity, Organisation, Workflow} from '../../src/types/workflow';
import {QUEUE, createStep} from './workflow_world';

/** Results of random sequences of placements and ends under a limit. */
export interface LimitReport {
  readonly starts: number;
  /** Number of tasks that had to wait for the cap. */
  readonly held: number;
  /** Starts above the cap that the rules do not allow. */
  readonly breaks: readonly string[];
  /** Groups that got no start although less than half of the cap was used. */
  readonly stuck: readonly string[];
}

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;
const ORGANISATIONS = ['acme', 'globex'];

const generateCap = fc.record({
  cpuMillis: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 20_000})),
  memoryMb: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 40_000})),
  accelerators: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 8})),
});

const generateAction = fc.oneof(
  fc.record({
    kind: fc.constant('place' as const),
    organisation: fc.constantFrom(...ORGANISATIONS),
    taskCount: fc.integer({min: 1, max: 12}),
    cpuMillis: fc.integer({min: 1, max: 6_000}),
    memoryMb: fc.integer({min: 0, max: 12_000}),
    accelerators: fc.integer({min: 0, max: 2}),
    gang: fc.boolean(),
    /** Share of the selected tasks that find a host. */
    placed: fc.double({min: 0, max: 1, noNaN: true}),
    /** Whether the action belongs to the pass of the one before. */
    samePass: fc.boolean(),
  }),
  fc.record({kind: fc.constant('end' as const), which: fc.nat(1_000)}),
  fc.record({
    kind: fc.constant('cap' as const),
    organisation: fc.constantFrom(...ORGANISATIONS),
    cap: generateCap,
  }),
);

/** Plays random sequences of placements, ends and changes of caps. */
export function playLimits(count: number, seed: number): LimitReport {
  const breaks: string[] = [];
  const stuck: string[] = [];
  let starts = 0;
  let held = 0;
  const sequences = fc.sample(
    fc.array(generateAction, {minLength: 20, maxLength: 60}),
    {numRuns: count, seed},
  );
  for (const [number, actions] of sequences.entries()) {
    const usage = createOrganisationUsage();
    const organisations = new Map<string, Organisation>();
    const running: TaskRecord[] = [];
    let pass = createStartLimit({organisations, usage});
    let passTasks: TaskRecord[] = [];

    /** Ends the pass: its tasks are now counted by their hosts. */
    function endPass(): void {
      for (const task of passTasks) usage.add(task);
      running.push(...passTasks);
      passTasks = [];
      pass = createStartLimit({organisations, usage});
    }

    function sum(organisation: string): Capacity {
      const used = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
      for (const {workflow, step} of [...running, ...passTasks]) {
        if (workflow.organisation !== organisation) continue;
        for (const resource of RESOURCES) used[resource] += step[resource];
      }
      return used;
    }

    for (const [index, action] of actions.entries()) {
      const name = `sequence ${number}, action ${index}`;
      if (action.kind === 'cap') {
        endPass();
        organisations.set(action.organisation, {
          name: action.organisation,
          keyDigests: [],
          priority: 0,
          weight: 1,
          cap: action.cap,
        });
        continue;
      }
      if (action.kind === 'end') {
        endPass();
        const [task] = running.splice(action.which % (running.length || 1), 1);
        if (task) usage.remove(task);
        continue;
      }
      if (!action.samePass) endPass();
      const group = createGroup(`${number}-${index}`, action);
      const before = sum(action.organisation);
      const cap = organisations.get(action.organisation)?.cap;
      const selected = pass.select(group);
      held += group.length - selected.length;
      if (action.gang && selected.length % group.length !== 0) {
        breaks.push(`${name}: part of a gang`);
      }
      if (cap && isBelowHalf(before, cap) && selected.length === 0) {
        if (!action.gang) stuck.push(name);
      }
      const placedCount = action.gang
        ? selected.length
        : Math.ceil(action.placed * selected.length);
      const placed = selected.slice(0, placedCount);
      starts += placed.length;
      for (const resource of cap ? RESOURCES : []) {
        const limit = cap?.[resource] ?? 0;
        const size = group[0].step[resource];
        const after = before[resource] + placed.length * size;
        if (limit === 0 || size === 0 || placed.length === 0) continue;
        if (after <= limit) continue;
        const isOneMore = after - size <= limit;
        const hadRoom =
          (action.gang ? before[resource] : after - size) < limit / 2;
        if (!isOneMore || !hadRoom) {
          breaks.push(`${name}: ${resource} ${after} of ${limit}`);
        }
      }
      pass.take(placed);
      passTasks.push(...placed);
    }
    endPass();
    for (const organisation of ORGANISATIONS) {
      const counted = JSON.stringify(usage.get(organisation));
      if (counted !== JSON.stringify(sum(organisation))) {
        breaks.push(`sequence ${number}: ${counted} counted`);
      }
    }
  }
  return {starts, held, breaks, stuck};
}

function isBelowHalf(used: Capacity, cap: Capacity): boolean {
  return RESOURCES.every(
    resource => cap[resource] === 0 || used[resource] < cap[resource] / 2,
  );
}

function createGroup(
  id: string,
  {
    organisation,
    taskCount,
    cpuMillis,
    memoryMb,
    accelerators,
    gang,
  }: Capacity & {organisation: string; taskCount: number; gang: boolean},
): readonly TaskRecord[] {
  const workflow: Workflow = {
    id,
    queue: QUEUE.name,
    organisation,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt: 0,
    spec: '',
    steps: [createStep({taskCount, cpuMillis, memoryMb, accelerators, gang})],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  return getGroup(createWorkflowRecord(workflow, undefined, {}, 0), 0, 0);
}
