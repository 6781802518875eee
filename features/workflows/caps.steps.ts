import assert from 'node:assert/strict';
import {Before, Given, Then, When} from '@cucumber/cucumber';
import {WorkflowDraft} from '../../src/actors/workflows';
import {
  TaskPhase,
  TaskRecord,
  WorkflowRecord,
  createOrganisationUsage,
  createPlacement,
  createStartLimit,
  createWorkflowRecord,
  encodeProgress,
  getGroup,
} from '../../src/decisions/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {Capacity, Organisation, Workflow} from '../../src/types/workflow';
import {CapChange, findCapBreaks, listRunning} from './cap_history';
import {HistoryReport, playHistories} from './cap_histories';
import {LimitReport, playLimits} from './cap_sequences';
import {getSubmitted, getWorld} from './running.steps';
import {
  ADVISED_QUEUE,
  FIRST_VERSION,
  QUEUE,
  createSpec,
  createStep,
} from './workflow_world';

const NO_CAP: Capacity = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
let changes: CapChange[] = [];
let record: WorkflowRecord | undefined;
let selected: readonly TaskRecord[] | undefined;
let version = FIRST_VERSION;
let limits: LimitReport | undefined;
let histories: HistoryReport[] = [];

Before(() => {
  changes = [];
  version = FIRST_VERSION;
  limits = undefined;
  histories = [];
});

function createRecord(
  taskCount: number,
  change: Partial<Workflow> = {},
): WorkflowRecord {
  const workflow: Workflow = {
    id: '0000000000000001',
    queue: QUEUE.name,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt: 0,
    spec: '',
    steps: [createStep({taskCount, gang: true})],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
    ...change,
  };
  return createWorkflowRecord(workflow, undefined, {}, 0);
}

function configureCap(organisation: string, cap: Capacity): void {
  changes.push({organisation, cap, at: performance.now()});
  version += 1;
  const organisations: Organisation[] = [organisation, 'other'].map(name => ({
    name,
    keyDigests: [],
    priority: 0,
    weight: 1,
    cap: name === organisation ? cap : NO_CAP,
  }));
  getWorld().configure(version, [QUEUE, ADVISED_QUEUE], organisations);
}

Given(
  'the organisation {string} may have {int} thousandths of a processor running',
  (name: string, cpuMillis: number) =>
    configureCap(name, {...NO_CAP, cpuMillis}),
);

Given(
  'the organisation {string} may have {int} MB of memory in use',
  (name: string, memoryMb: number) => configureCap(name, {...NO_CAP, memoryMb}),
);

When(
  '{string} submits a workflow of {int} tasks of {int} ms',
  async (organisation: string, taskCount: number, workMs: number) => {
    const world = getWorld();
    const member = world.members.find(({alive}) => alive);
    assert.ok(member);
    const draft: Partial<WorkflowDraft> & {organisation: string} = {
      organisation,
      spec: createSpec({workMs}),
      steps: [createStep({taskCount, estimateMs: workMs})],
    };
    getSubmitted().push(await world.submit(member, draft));
  },
);

When('{string} cancels its first workflow', async (organisation: string) => {
  const world = getWorld();
  const [id] = [...world.workflows.values()]
    .filter(workflow => workflow.organisation === organisation)
    .map(workflow => workflow.id);
  await world.cancel(world.members[0], id);
});

Given(
  'a gang of {int} placed tasks that are done and have not reported their ends',
  (taskCount: number) => {
    record = createRecord(taskCount);
    for (const task of getGroup(record, 0, 0)) {
      task.run = 1;
      task.phase = TaskPhase.Done;
      task.placement = createPlacement('host-1', 1, '', 1, 0);
    }
  },
);

Given(
  'a waiting workflow of {int} tasks of {string}',
  (taskCount: number, organisation: string) => {
    record = createRecord(taskCount, {organisation});
  },
);

When('the leader has not read a configuration', () => {
  assert.ok(record);
  const usage = createOrganisationUsage();
  const limit = createStartLimit({organisations: undefined, usage});
  selected = limit.select(getGroup(record, 0, 0));
});

Then('none of its tasks may start', () => assert.deepEqual(selected, []));

When('its progress is stored and read by the next leader', () => {
  assert.ok(record);
  const progress = JSON.parse(JSON.stringify(encodeProgress(record)));
  record = createWorkflowRecord(record.workflow, undefined, progress, 0);
});

Then(
  '{int} of its tasks are done and {int} still have a host',
  (done: number, placed: number) => {
    assert.ok(record);
    const tasks = getGroup(record, 0, 0);
    const doneTasks = tasks.filter(({phase}) => phase === TaskPhase.Done);
    assert.equal(doneTasks.length, done);
    assert.equal(tasks.filter(({placement}) => placement).length, placed);
  },
);

Then(
  '{int} task(s) of {string} is/are running',
  (count: number, organisation: string) =>
    assert.equal(listRunning(getWorld(), organisation).length, count),
);

Then('no organisation has exceeded its cap', () =>
  assert.deepEqual(findCapBreaks(getWorld(), changes), []),
);

When(
  '{int} random sequences of placements and ends are played with seed {int}',
  (count: number, seed: number) => {
    limits = playLimits(count, seed);
  },
);

Then('each start kept what the organisation uses within its cap', () => {
  assert.deepEqual(limits?.breaks, []);
  assert.ok((limits?.starts ?? 0) > 1_000);
  assert.ok((limits?.held ?? 0) > 100);
});

Then('an organisation below half of its cap could always start', () =>
  assert.deepEqual(limits?.stuck, []),
);

When(
  '{int} random histories of {int} steps are played with each of the seeds {int} to {int}',
  {timeout: 120_000},
  async (count: number, length: number, first: number, last: number) => {
    histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      histories.push(await playHistories(count, length, seed));
    }
  },
);

Then('no organisation exceeded its cap in any of them', () =>
  assert.deepEqual(
    histories.flatMap(({breaks}) => breaks),
    [],
  ),
);

Then('the histories have starts, losses and takeovers', () => {
  const count = (kind: FleetEventKind) =>
    histories.reduce((sum, {events}) => sum + (events[kind] ?? 0), 0);
  assert.ok(count(FleetEventKind.Start) > 150);
  assert.ok(count(FleetEventKind.Lost) > 0);
  assert.ok(histories.every(({takeovers}) => takeovers > 0));
});
