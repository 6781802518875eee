import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {WorkflowDraft} from '../../src/actors/workflows';
import {
  TaskRecord,
  createPlacement,
  createWorkflowRecord,
  getGroup,
  isSuspect,
  recordCrash,
} from '../../src/decisions/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {TaskEndKind} from '../../src/types/workflow';
import {advance, advanceUntil} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {QUEUE, createSpec, createStep} from './workflow_world';

/** Time in ms from the crash of a host to the start of the next one. */
const RESTART_MS = 2_000;
/** The same for a host that starts again under its id. */
const SHORT_RESTART_MS = 500;

/** Ids of the workflows whose tasks crash their hosts. */
let crashingIds: ReadonlySet<string> = new Set();

async function submit(draft: Partial<WorkflowDraft>): Promise<string> {
  const member = getWorld().members.find(({alive}) => alive);
  assert.ok(member);
  const submitted = await getWorld().submit(member, draft);
  getSubmitted().push(submitted);
  return submitted.id;
}

/** Returns the largest number of runs that any of a workflow's tasks had. */
function countRuns(id: string): number {
  const runs = new Map<string, number>();
  for (const {kind, task} of getWorld().fleet.events) {
    if (kind !== FleetEventKind.Start || !task.startsWith(id)) continue;
    runs.set(task, (runs.get(task) ?? 0) + 1);
  }
  return Math.max(0, ...runs.values());
}

When('a workflow of 1 task that crashes its hosts is submitted', async () => {
  const spec = createSpec({crashesHost: true, workMs: 1_000});
  crashingIds = new Set([await submit({spec})]);
});

When(
  'a workflow of 1 lasting task that crashes its hosts is submitted',
  async () => {
    const spec = createSpec({crashesHost: true, lasting: true});
    const steps = [createStep({lasting: true})];
    crashingIds = new Set([await submit({spec, steps})]);
  },
);

When(
  '{int} workflows of {int} tasks of {int} ms are submitted, every tenth of which crashes its hosts, one every {int} ms',
  async (
    count: number,
    taskCount: number,
    workMs: number,
    intervalMs: number,
  ) => {
    const ids = new Set<string>();
    for (let index = 1; index <= count; index += 1) {
      const crashesHost = index % 10 === 0;
      const id = await submit({
        spec: createSpec({workMs, crashesHost}),
        steps: [
          createStep({
            taskCount: crashesHost ? 1 : taskCount,
            estimateMs: workMs,
          }),
        ],
      });
      if (crashesHost) ids.add(id);
      await advance(intervalMs);
    }
    crashingIds = ids;
  },
);

When(
  'a workflow of {int} tasks that last for good is submitted',
  async (taskCount: number) => {
    const steps = [createStep({taskCount, lasting: true, perHostLimit: 1})];
    await submit({spec: createSpec({lasting: true}), steps});
  },
);

When(
  'each host crashes {int} times, once every {int} s',
  async (times: number, seconds: number) => {
    const {fleet} = getWorld();
    for (let round = 0; round < times; round += 1) {
      await advance(seconds * 1_000 - RESTART_MS);
      for (const machine of fleet.machines.keys()) fleet.crash(machine, false);
      await advance(RESTART_MS);
      for (const machine of fleet.machines.keys()) fleet.boot(machine);
    }
    await advance(seconds * 1_000);
  },
);

When(
  'one host crashes {int} times, each time {int} ms after it has started a task again',
  async (times: number, delayMs: number) => {
    const {fleet} = getWorld();
    const [machine] = fleet.machines.keys();
    const isRunning = () => fleet.getHost(machine)?.listRuns().length === 1;
    for (let crash = 0; crash < times; crash += 1) {
      fleet.crash(machine, false);
      await advance(SHORT_RESTART_MS);
      fleet.restart(machine);
      await advanceUntil(isRunning, 8_000);
      await advance(delayMs);
    }
  },
);

Then('no run has been stopped', () => {
  const stopped = getWorld().fleet.events.filter(
    ({how}) => how === TaskEndKind.Stopped,
  );
  assert.deepEqual(stopped, []);
});

Then('it has crashed at most {int} hosts', (limit: number) => {
  const [id] = crashingIds;
  const crashes = countRuns(id);
  assert.ok(crashes >= 1 && crashes <= limit, `${crashes} hosts crashed`);
});

Then('no task has crashed more than {int} hosts', (limit: number) => {
  for (const id of crashingIds) {
    const crashes = countRuns(id);
    assert.ok(crashes <= limit, `${crashes} hosts crashed under ${id}`);
  }
});

Then(
  'the workflows that crash their hosts are {string}, and all others are {string}',
  async (crashing: string, others: string) => {
    for (const {id} of getSubmitted()) {
      const expected = crashingIds.has(id) ? crashing : others;
      assert.equal(await getWorld().readState(id), expected, id);
    }
  },
);

let tasks: readonly TaskRecord[] = [];
let givenUp: readonly TaskRecord[] = [];

Given(
  'a host that has acknowledged the start of {int} of {int} tasks',
  (acknowledged: number, taskCount: number) => {
    const workflow = {
      ...QUEUE,
      id: '00000000000000a1',
      queue: QUEUE.name,
      acceptedAt: 0,
      spec: createSpec(),
      steps: [createStep({taskCount})],
      occurrences: 1,
      firstAt: 0,
      intervalMs: 0,
    };
    const record = createWorkflowRecord(workflow, undefined, {}, 0);
    tasks = getGroup(record, 0, 0);
    for (const task of tasks) {
      task.placement = createPlacement('host-1', 1, 'address-1', 1, 0);
      task.placement.confirmed = task.index < acknowledged;
    }
  },
);

When('it crashes', () => {
  givenUp = recordCrash(tasks);
});

When('it crashes again while it starts only the first of them', () => {
  givenUp = recordCrash(tasks.slice(0, 1));
});

Then('the first of them is given up', () => {
  assert.deepEqual(givenUp, tasks.slice(0, 1));
});

Then('both tasks may have caused the crash', () => {
  assert.ok(tasks.every(isSuspect));
});

Then('none of them is given up', () => {
  assert.deepEqual(givenUp, []);
});
