import assert from 'node:assert/strict';
import {Before, Given, Then, When} from '@cucumber/cucumber';
import {createRetention} from '../../src/actors/workflows/retention';
import {
  HostRoom,
  PlacementCandidate,
  TaskRecord,
  WorkflowRecord,
  createOrganisationUsage,
  createRunTimes,
  createStartLimit,
  createUnplaceableSizes,
  createWorkflowRecord,
  getGroup,
  placeTasks,
  runPlacementPass,
} from '../../src/decisions/workflows';
import {Step, Workflow, WorkflowState} from '../../src/types/workflow';
import {QUEUE, createStep} from './workflow_world';
import {throwError} from './strict_errors';

let rooms: HostRoom[] = [];
let groups: TaskRecord[][] = [];
let candidates: PlacementCandidate[] = [];
let placedCount = 0;
/** Number of workflows for which hosts were looked for. */
let triedCount = 0;
/** Number of times that the free processors of any host were read. */
let reads = 0;

Before(() => {
  rooms = [];
  groups = [];
  candidates = [];
  reads = 0;
});

function createRoom(index: number, freeCpuMillis: number): HostRoom {
  let cpuMillis = freeCpuMillis;
  return {
    host: {
      id: `host-${index}`,
      bornAt: 1,
      pool: QUEUE.pool,
      address: '',
      availabilityZone: '',
      machine: `m-${index}`,
      labels: [],
      rack: '',
      capacity: {cpuMillis: 16_000, memoryMb: 65_536, accelerators: 0},
      draining: false,
      coldMs: 0,
    },
    free: {
      get cpuMillis() {
        reads += 1;
        return cpuMillis;
      },
      set cpuMillis(value) {
        cpuMillis = value;
      },
      memoryMb: 65_536,
      accelerators: 0,
    },
    groups: new Map(),
    starting: new Set(),
    serving: 0,
    filling: 0,
    degraded: false,
  };
}

function addStep(change: Partial<Step>): void {
  const workflow: Workflow = {
    id: String(groups.length).padStart(16, '0'),
    queue: QUEUE.name,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt: 0,
    spec: '',
    steps: [createStep(change)],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  const record = createWorkflowRecord(workflow, undefined, {}, 0);
  groups.push(getGroup(record, 0, 0));
  candidates.push({
    record,
    urgency: {priority: 0, rank: 1, at: groups.length},
    groups: [getGroup(record, 0, 0)],
    slackMs: 0,
  });
}

function runPass(): void {
  const organisations = new Map();
  const usage = createOrganisationUsage();
  placedCount = 0;
  triedCount = 0;
  runPlacementPass(
    {
      pool: QUEUE.pool,
      now: 0,
      rooms,
      candidates,
      runTimes: createRunTimes(),
      organisations,
      usage,
    },
    createStartLimit({organisations, usage}),
    {
      getFilter() {
        triedCount += 1;
        return () => true;
      },
      onUnplaced: () => {},
      onInvalid: throwError,
      start(_, placed) {
        placedCount += placed.length;
      },
    },
  );
}

Given(
  '{int} hosts with less than {int} thousandths of a processor free',
  (count: number, limit: number) => {
    rooms = Array.from({length: count}, (_, index) =>
      createRoom(index, Math.floor(Math.random() * limit)),
    );
  },
);

Given(
  '{int} hosts with {int} thousandths of a processor free',
  (count: number, freeCpuMillis: number) => {
    rooms = Array.from({length: count}, (_, index) =>
      createRoom(index, freeCpuMillis),
    );
  },
);

Given(
  '{int} waiting steps of {int} tasks that need {int} to {int} thousandths each',
  (count: number, taskCount: number, min: number, max: number) => {
    for (let index = 0; index < count; index += 1) {
      const cpuMillis = min + Math.floor(Math.random() * (max - min));
      const memoryMb = 2 * cpuMillis + Math.floor(Math.random() * 4_000);
      addStep({taskCount, cpuMillis, memoryMb});
    }
  },
);

Given(
  /^one waiting step with a task that needs (\d+) thousandths?(?: and the label "(.*)")?$/,
  (cpuMillis: string, label: string | null) => {
    addStep({cpuMillis: Number(cpuMillis), memoryMb: 1, label: label ?? ''});
  },
);

When('the leader looks for room for all of them', () => {
  const unplaceable = createUnplaceableSizes();
  placedCount = 0;
  for (const group of groups) {
    placedCount += placeTasks(group, rooms, () => true, unplaceable).length;
  }
});

Then(/^(no|\d+) tasks? (?:is|are) placed$/, (count: string) =>
  assert.equal(placedCount, count === 'no' ? 0 : Number(count)),
);

Then('each host was considered at most {int} times', (limit: number) =>
  assert.ok(reads <= limit * rooms.length, `${reads / rooms.length} times`),
);

Given(
  'a pool of {int} full hosts and {int} workflows that wait',
  (hostCount: number, workflowCount: number) => {
    rooms = Array.from({length: hostCount}, (_, index) => createRoom(index, 0));
    for (let index = 0; index < workflowCount; index += 1) {
      addStep({cpuMillis: 1_000 + (index % 3)});
    }
  },
);

When(
  'room for {int} tasks becomes free and a pass runs',
  (taskCount: number) => {
    rooms[7].free.cpuMillis += taskCount * 1_000 + 5;
    runPass();
  },
);

When('room becomes free that is too small for any task and a pass runs', () => {
  rooms[9].free.cpuMillis += 900;
  runPass();
});

Then('at most {int} workflows were tried', (limit: number) =>
  assert.ok(triedCount <= limit, String(triedCount)),
);

let ended: WorkflowRecord | undefined;

Given(
  'a workflow of {int} tasks that has been stored as "cancelled"',
  (taskCount: number) => {
    groups = [];
    addStep({taskCount});
    const [[{workflow}]] = groups;
    ended = createWorkflowRecord(workflow, undefined, {}, 0);
    getGroup(ended, 0, 0);
    ended.state = WorkflowState.Cancelled;
  },
);

When('the leader reviews which workflows to delete', () => {
  assert.ok(ended);
  const records = new Map([[ended.workflow.id, ended]]);
  const retention = createRetention(
    records,
    120_000,
    () => assert.fail(),
    Date.now,
  );
  retention.recordEnd(ended.workflow.id);
  retention.review();
  assert.equal(records.size, 1);
});

Then('the workflow is kept without its tasks', () =>
  assert.equal(ended?.groups.size, 0),
);
