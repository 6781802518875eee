import {FleetEventKind} from '../../src/stand_ins/fleet';
import {Capacity, Step} from '../../src/types/workflow';
import {WorkflowWorld} from './workflow_world';

/** A cap of an organisation and the monotonic time in ms of its configuration. */
export interface CapChange {
  readonly organisation: string;
  readonly cap: Capacity;
  readonly at: number;
}

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;
/** Time in ms for which an earlier configuration may still be applied. */
const APPLY_MS = 3_000;

/** What a cap counts of a running task. */
interface RunningTask {
  readonly organisation: string;
  readonly step: Step;
  /** Name without the task's index. */
  readonly group: string;
}

/** Returns what a cap counts of a task; undefined if it has no organisation. */
function findTask(
  {workflows}: WorkflowWorld,
  name: string,
): RunningTask | undefined {
  const [id, , stepIndex] = name.split('.');
  const workflow = workflows.get(id);
  if (workflow?.organisation === undefined) return undefined;
  const step = workflow.steps[Number(stepIndex)];
  const group = name.slice(0, name.lastIndexOf('.'));
  return {organisation: workflow.organisation, step, group};
}

/** Returns the names of an organisation's tasks that hosts execute now. */
export function listRunning(
  world: WorkflowWorld,
  organisation: string,
): readonly string[] {
  return [...world.fleet.hosts.values()]
    .flatMap(host => host.listRunning().map(({task}) => task))
    .filter(task => findTask(world, task)?.organisation === organisation);
}

/**
 * Returns the starts that brought an organisation above the highest cap that
 * could be in force. One task more is allowed if the organisation used less
 * than half of it before the task, or before its gang.
 */
export function findCapBreaks(
  world: WorkflowWorld,
  changes: readonly CapChange[],
): readonly string[] {
  const running = new Map<string, RunningTask>();
  const breaks: string[] = [];
  for (const {kind, task, run, hostId, at} of world.fleet.events) {
    const key = `${hostId}/${task}/${run}`;
    if (kind === FleetEventKind.End || kind === FleetEventKind.Lost) {
      running.delete(key);
    }
    if (kind !== FleetEventKind.Start) continue;
    const found = findTask(world, task);
    if (!found) continue;
    const caps = listCapsInForce(changes, found.organisation, at);
    for (const resource of caps.length === 0 ? [] : RESOURCES) {
      const limits = caps.map(cap => cap[resource]);
      if (limits.includes(0)) continue;
      const limit = Math.max(...limits);
      const own = [...running.values()].filter(
        ({organisation}) => organisation === found.organisation,
      );
      const before = sum(own, resource);
      const after = before + found.step[resource];
      if (after <= limit) continue;
      const others = own.filter(
        ({step, group}) => !step.gang || group !== found.group,
      );
      if (before <= limit && sum(others, resource) < limit / 2) continue;
      breaks.push(`${key} at ${at}: ${resource} ${after} of ${limit}`);
    }
    running.set(key, found);
  }
  return breaks;
}

function sum(
  tasks: readonly RunningTask[],
  resource: (typeof RESOURCES)[number],
): number {
  return tasks.reduce((total, {step}) => total + step[resource], 0);
}

function listCapsInForce(
  changes: readonly CapChange[],
  organisation: string,
  at: number,
): readonly Capacity[] {
  const own = changes.filter(change => change.organisation === organisation);
  return own
    .filter((change, index) => {
      const next = own[index + 1];
      return change.at <= at && (!next || at <= next.at + APPLY_MS);
    })
    .map(({cap}) => cap);
}
