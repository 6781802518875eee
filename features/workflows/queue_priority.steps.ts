import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  Urgency,
  compareUrgency,
  getUrgency,
} from '../../src/decisions/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {Queue, Workflow} from '../../src/types/workflow';
import {advanceUntil} from '../support/paused_clock';
import {getWorld} from './running.steps';
import {FIRST_VERSION, QUEUE, createSpec, createStep} from './workflow_world';

const NOW = 1_000_000;
const RUN_MS = 500;
const TASK_COUNT = 8;
const FIRST_QUEUE: Queue = {...QUEUE, name: 'first', prefix: '/first/'};
const SECOND_QUEUE: Queue = {
  ...QUEUE,
  name: 'second',
  prefix: '/second/',
  priority: 1,
};

let waiting: {readonly name: string; readonly urgency: Urgency}[] = [];
let submitted: {readonly id: string; readonly priority: number}[] = [];

function createUrgency(
  priority: number,
  dueInMs: number,
  lasting = false,
): Urgency {
  const workflow: Workflow = {
    id: '0',
    queue: QUEUE.name,
    pool: QUEUE.pool,
    spec: '',
    steps: [createStep({estimateMs: RUN_MS, lasting})],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
    priority,
    maxAttempts: 3,
    stretch: 2,
    targetDurationMs: 0,
    acceptedAt: 0,
  };
  const since = NOW + dueInMs - 2 * RUN_MS;
  return getUrgency(workflow, since, RUN_MS, RUN_MS, NOW);
}

Given(
  'waiting workflows {string} of priority {int} due in {int} s and {string} of priority {int} due in {int} s',
  (a: string, p: number, s: number, b: string, q: number, t: number) => {
    waiting = [
      {name: a, urgency: createUrgency(p, s * 1_000)},
      {name: b, urgency: createUrgency(q, t * 1_000)},
    ];
  },
);

Given(
  'waiting workflows {string} of priority {int} due in {int} s and {string} of priority {int} due {int} s ago',
  (a: string, p: number, s: number, b: string, q: number, t: number) => {
    waiting = [
      {name: a, urgency: createUrgency(p, s * 1_000)},
      {name: b, urgency: createUrgency(q, -t * 1_000)},
    ];
  },
);

Given(
  'waiting workflows {string} of priority {int} that last and {string} of priority {int} due in {int} s',
  (a: string, p: number, b: string, q: number, t: number) => {
    waiting = [
      {name: a, urgency: createUrgency(p, 0, true)},
      {name: b, urgency: createUrgency(q, t * 1_000)},
    ];
  },
);

Given(
  '{string} of priority {int} due in {int} s',
  (name: string, priority: number, seconds: number) => {
    waiting.push({name, urgency: createUrgency(priority, seconds * 1_000)});
  },
);

Then('the order is {string}', (expected: string) => {
  const sorted = [...waiting].sort((a, b) =>
    compareUrgency(a.urgency, b.urgency),
  );
  assert.equal(sorted.map(({name}) => name).join(' '), expected);
});

Given('a queue of priority 0 and one of priority 1 for its pool', () => {
  submitted = [];
  getWorld().configure(FIRST_VERSION + 1, [FIRST_QUEUE, SECOND_QUEUE]);
});

When(
  '{int} workflows are submitted to the queue of priority {int}',
  async (count: number, priority: number) => {
    const world = getWorld();
    const queue = priority === 0 ? FIRST_QUEUE : SECOND_QUEUE;
    for (let index = 0; index < count; index += 1) {
      const {id} = await world.submit(
        world.members[0],
        {
          spec: createSpec({workMs: RUN_MS, cpuMillis: 2_000}),
          steps: [
            createStep({
              taskCount: TASK_COUNT,
              cpuMillis: 2_000,
              estimateMs: RUN_MS,
            }),
          ],
        },
        undefined,
        queue,
      );
      submitted.push({id, priority});
    }
  },
);

Then(
  'those of priority 0 end before the last {int} of priority 1',
  async (count: number) => {
    const world = getWorld();
    const ends = new Map<string, number>();
    const listTaskEnds = () =>
      world.fleet.events.filter(({kind}) => kind === FleetEventKind.End);
    const taskCount = submitted.length * TASK_COUNT;
    await advanceUntil(() => listTaskEnds().length >= taskCount, 20_000);
    for (const {task, at} of listTaskEnds()) ends.set(task.split('.')[0], at);
    const listEnds = (wanted: number) =>
      submitted
        .filter(({priority}) => priority === wanted)
        .map(({id}) => ends.get(id) ?? Infinity)
        .sort((a, b) => a - b);
    const lastOfFirst = Math.max(...listEnds(0));
    const lateOnes = listEnds(1).slice(-count);
    assert.ok(lastOfFirst < lateOnes[0], `${lastOfFirst} ${lateOnes.join()}`);
  },
);
