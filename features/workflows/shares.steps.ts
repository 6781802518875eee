import assert from 'node:assert/strict';
import {Before, DataTable, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  HostRoom,
  PlacementCandidate,
  PlacementPass,
  TaskPhase,
  TaskRecord,
  addTasks,
  compareUrgency,
  countWaves,
  createCandidateOrder,
  createOrganisationUsage,
  createRunTimes,
  createSubmissionRates,
  createWeightedShares,
  createWorkflowRecord,
  getGroup,
  hasRoom,
  releaseRoom,
  reserveRoom,
} from '../../src/decisions/workflows';
import {Capacity, Organisation, Workflow} from '../../src/types/workflow';
import {QUEUE, createStep} from './workflow_world';

const NO_CAP: Capacity = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
/** Processors of each workflow in thousandths. */
const WORKFLOW_CPU_MILLIS = 4_000;
const RANDOM_SEED = 31;

let room: HostRoom;
let organisations: Map<string, Organisation>;
let usage = createOrganisationUsage();
let waiting: PlacementCandidate[];
/** Running tasks in the order of their starts. */
let running: TaskRecord[];
/** Organisations in the order of their starts. */
let started: string[];
let workflowCount = 0;
let rates = createSubmissionRates();
let owed: Organisation;
let now = 0;
let owedCount = 0;
let levels: ReadonlyMap<string, number>;
let step = createStep();
let waves = 0;
let passes: PlacementPass[];

Before(() => {
  room = createRoom(0);
  organisations = new Map();
  usage = createOrganisationUsage();
  waiting = [];
  running = [];
  started = [];
  workflowCount = 0;
  rates = createSubmissionRates();
  now = 1_000_000;
});

function createRoom(processors: number): HostRoom {
  const capacity = {
    cpuMillis: processors * 1_000,
    memoryMb: processors * 4_000,
    accelerators: 0,
  };
  return {
    host: {
      id: 'host-1',
      bornAt: 1,
      pool: QUEUE.pool,
      address: '',
      availabilityZone: '',
      machine: 'm-1',
      labels: [],
      rack: '',
      capacity,
      draining: false,
      coldMs: 0,
    },
    free: {...capacity},
    groups: new Map(),
    starting: new Set(),
    serving: 0,
    filling: 0,
    degraded: false,
  };
}

function createOrganisation(name: string, weight: number): Organisation {
  return {name, keyDigests: [], priority: 0, weight, cap: NO_CAP};
}

function createCandidate(
  organisation: string | undefined,
  rank = 1,
  at = workflowCount,
  isExtra = false,
): PlacementCandidate {
  workflowCount += 1;
  const workflow: Workflow = {
    id: String(workflowCount).padStart(16, '0'),
    queue: QUEUE.name,
    ...(organisation === undefined ? {} : {organisation}),
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetDurationMs: 600,
    acceptedAt: 0,
    spec: '',
    steps: [createStep({cpuMillis: WORKFLOW_CPU_MILLIS, memoryMb: 1})],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  const record = createWorkflowRecord(workflow, undefined, {}, 0);
  record.isExtra = isExtra;
  return {
    record,
    urgency: {priority: 0, rank, at},
    slackMs: 0,
    groups: [getGroup(record, 0, 0)],
  };
}

function createPass(candidates: PlacementCandidate[]): PlacementPass {
  return {
    pool: QUEUE.pool,
    now: 0,
    rooms: [room],
    candidates,
    runTimes: createRunTimes(),
    organisations,
    usage,
  };
}

function listOrder(pass: PlacementPass): readonly PlacementCandidate[] {
  const order = createCandidateOrder(pass);
  const listed: PlacementCandidate[] = [];
  for (let next = order.next(); next; next = order.next()) listed.push(next);
  return listed;
}

/** Starts what fits, in the order of a pass. */
function fill(): void {
  for (const candidate of listOrder(createPass(waiting))) {
    const [[task]] = candidate.groups;
    if (!hasRoom(room, task.step, task.group)) break;
    reserveRoom(room, task.step, task.group);
    task.phase = TaskPhase.Placed;
    usage.add(task);
    running.push(task);
    started.push(task.workflow.organisation ?? '');
    waiting.splice(waiting.indexOf(candidate), 1);
  }
}

function endFirst(): void {
  const task = running.shift();
  if (!task) return;
  releaseRoom(room, task.step, task.group);
  usage.remove(task);
}

function addWaiting(organisation: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    waiting.push(createCandidate(organisation));
  }
}

Given('a pool of {int} processors', (processors: number) => {
  room = createRoom(processors);
});

Given(
  'organisations {string} with weight {int}, {string} with weight {int} and {string} with weight {int}',
  (
    first: string,
    firstWeight: number,
    second: string,
    secondWeight: number,
    third: string,
    thirdWeight: number,
  ) => {
    organisations = new Map([
      [first, createOrganisation(first, firstWeight)],
      [second, createOrganisation(second, secondWeight)],
      [third, createOrganisation(third, thirdWeight)],
    ]);
  },
);

Given(
  '{string} has {int} waiting workflow(s), {string} has {int} and {string} has {int}',
  (
    first: string,
    firstCount: number,
    second: string,
    secondCount: number,
    third: string,
    thirdCount: number,
  ) => {
    addWaiting(first, firstCount);
    addWaiting(second, secondCount);
    addWaiting(third, thirdCount);
  },
);

When('{string} submits {int} workflows', addWaiting);

When(
  'the pool is filled and {int} workflows end one by one',
  (count: number) => {
    fill();
    for (let index = 0; index < count; index += 1) {
      endFirst();
      fill();
    }
  },
);

Then(
  '{string} was among the first {int} to start',
  (organisation: string, count: number) =>
    assert.ok(started.slice(0, count).includes(organisation), started.join()),
);

Then(
  '{string} was served before {string} had more than {int} workflows more than {string}',
  (organisation: string, hot: string, limit: number, other: string) => {
    assert.equal(other, organisation);
    const last = started.lastIndexOf(organisation);
    const before = started.slice(0, last + 1);
    const count = (name: string) => before.filter(each => each === name).length;
    assert.equal(count(organisation), 10);
    assert.ok(count(hot) <= count(organisation) + limit, before.join());
  },
);

Then(
  '{string} uses {int} times as much as {string}, give or take one workflow',
  (first: string, factor: number, second: string) => {
    const count = (name: string) =>
      running.filter(({workflow}) => workflow.organisation === name).length;
    const wanted = ((running.length / (factor + 1)) * factor) | 0;
    assert.ok(Math.abs(count(first) - wanted) <= 1, `${count(first)}`);
    assert.ok(count(second) > 0);
  },
);

Then('the pool is full', () =>
  assert.ok(room.free.cpuMillis < WORKFLOW_CPU_MILLIS),
);

Given(
  '{string} uses {int} % of the memory and {string} uses {int} % of the processors',
  (first: string, memory: number, second: string, cpu: number) => {
    const {capacity} = room.host;
    const memoryMb = (capacity.memoryMb * memory) / 100;
    const cpuMillis = (capacity.cpuMillis * cpu) / 100;
    const holders = [
      {name: first, weight: 1, used: {...NO_CAP, memoryMb}},
      {name: second, weight: 1, used: {...NO_CAP, cpuMillis}},
    ];
    const shares = createWeightedShares(holders, addTasks(NO_CAP, capacity, 1));
    levels = new Map(holders.map(({name}) => [name, shares.getLevel(name)]));
  },
);

When('both want more', () => {});

Then('{string} is next', (name: string) => {
  const lowest = Math.min(...levels.values());
  assert.equal(levels.get(name), lowest);
});

Given(
  'waiting workflows of one organisation, from the last to the first:',
  (table: DataTable) => {
    organisations.set('acme', createOrganisation('acme', 1));
    waiting = table
      .rows()
      .map(([rank, extra], index) =>
        createCandidate('acme', Number(rank), index, extra === 'yes'),
      );
  },
);

Then('they are placed in the reverse order', () =>
  assert.deepEqual(listOrder(createPass(waiting)), [...waiting].reverse()),
);

Then('a late public workflow is placed before them', () => {
  const late = createCandidate(undefined, 2);
  const [first] = listOrder(createPass([...waiting, late]));
  assert.equal(first, late);
});

When(
  'the order of {int} random passes without organisations is computed',
  (count: number) => {
    const generateUrgency = fc.record({rank: fc.nat(3), at: fc.nat(100)});
    passes = fc
      .sample(fc.array(generateUrgency, {maxLength: 30}), {
        numRuns: count,
        seed: RANDOM_SEED,
      })
      .map(urgencies =>
        createPass(
          urgencies.map(({rank, at}) => createCandidate('x', rank, at)),
        ),
      );
  },
);

Then('each is that of their urgency', () => {
  for (const pass of passes) {
    const expected = [...pass.candidates].sort((a, b) =>
      compareUrgency(a.urgency, b.urgency),
    );
    assert.deepEqual(listOrder(pass), expected);
  }
});

Given(
  'an organisation that is owed {int} submissions a second',
  (weight: number) => {
    owed = createOrganisation('acme', weight);
  },
);

function send(count: number): void {
  owedCount = 0;
  for (let index = 0; index < count; index += 1) {
    if (rates.count(owed, now)) owedCount += 1;
  }
}

When(
  'it sends {int} at once after {int} s of silence',
  (count: number, seconds: number) => {
    send(1);
    now += seconds * 1_000;
    send(count);
  },
);

When('it sends {int} at once', send);

When('{int} ms of silence pass', (ms: number) => {
  now += ms;
});

Then('all of them are owed', () => assert.equal(owedCount, 40));

Then('{int} of them are owed', (count: number) =>
  assert.equal(owedCount, count),
);

Given(
  'a step of {int} tasks of {int} thousandths of a processor',
  (taskCount: number, cpuMillis: number) => {
    step = createStep({taskCount, cpuMillis});
  },
);

When(
  'the organisation may have {int} thousandths running in a pool of {int}',
  (capMillis: number, poolMillis: number) => {
    waves = countWaves(step, {
      cap: {...NO_CAP, cpuMillis: capMillis},
      room: poolMillis > 0 ? {...NO_CAP, cpuMillis: poolMillis} : undefined,
    });
  },
);

Then('the step runs in {int} waves', (count: number) =>
  assert.equal(waves, count),
);

Then('it is beyond its rate for {int} ms', (ms: number) =>
  assert.equal(rates.getExcessMs(owed, now), ms),
);
