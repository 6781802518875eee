import assert from 'node:assert/strict';
import {Before, Given, Then, When} from '@cucumber/cucumber';
import {StartLimit} from '../../src/decisions/workflows';
import {
  HOST_CPU_MILLIS,
  PassSimulation,
  PassSimulationOptions,
  SimulatedStart,
  SimulatedWork,
  simulatePasses,
} from './pass_simulation';

const LARGE = 'large';
const SMALL_RUN_MS = 600;
const SMALL_TASKS = 2;
/** Interval of submissions of small jobs, in ms. */
const SMALL_INTERVAL_MS = 20;
const SEED = 7;

let options: Omit<PassSimulationOptions, 'looksAhead'>;
let works: SimulatedWork[] = [];
let drainingFrom = new Map<string, number>();
let estimateFactor = 1;
let ahead: PassSimulation;
let today: PassSimulation;

Before(() => {
  works = [];
  drainingFrom = new Map();
  estimateFactor = 1;
});

Given(
  /^a pool of (\d+) hosts(?: in racks of (\d+))?$/,
  (hostCount: string, hostsPerRack: string | null) => {
    options = {
      hostCount: Number(hostCount),
      hostsPerRack: Number(hostsPerRack ?? hostCount),
      drainingFrom,
    };
  },
);

Given(
  'run times are declared as {int} of 100 of the actual ones',
  (percent: number) => {
    estimateFactor = percent / 100;
  },
);

Given(
  'a stream of small jobs that fills {int} of 100 processors',
  (percent: number) => {
    const random = createRandom(SEED);
    const jobsAtOnce = SMALL_RUN_MS / SMALL_INTERVAL_MS;
    const cpuMillis = Math.round(
      (options.hostCount * HOST_CPU_MILLIS * percent) /
        (100 * jobsAtOnce * SMALL_TASKS),
    );
    for (let index = 0; index < 500; index += 1) {
      add({
        name: `small-${index}`,
        at: index * SMALL_INTERVAL_MS,
        step: {taskCount: SMALL_TASKS, cpuMillis, memoryMb: 100},
        runMs: Math.round(SMALL_RUN_MS * (0.5 + random())),
      });
    }
  },
);

Given(
  /^a (job|gang) of (\d+) tasks that need (\d+) thousandths each for (\d+) ms(?: on one rack)?, every (\d+) s$/,
  (
    kind: string,
    taskCount: string,
    cpuMillis: string,
    runMs: string,
    seconds: string,
  ) => {
    for (let at = 1_500; at < 9_000; at += Number(seconds) * 1_000) {
      add({
        name: `${LARGE}-${at}`,
        at,
        step: {
          taskCount: Number(taskCount),
          cpuMillis: Number(cpuMillis),
          memoryMb: 1_000,
          gang: kind === 'gang',
          sameRack: kind === 'gang',
        },
        runMs: Number(runMs),
      });
    }
  },
);

Given(
  '{string} runs tasks of {int} thousandths for {int} ms and {int} ms',
  (host: string, cpuMillis: number, firstMs: number, secondMs: number) => {
    [firstMs, secondMs].forEach((runMs, index) =>
      add({name: `${host}.${index}`, at: 0, step: {cpuMillis}, runMs}),
    );
  },
);

Given(
  'each host runs a task of {int} thousandths for {int} ms',
  (cpuMillis: number, runMs: number) =>
    add({
      name: 'running',
      at: 0,
      step: {cpuMillis, taskCount: options.hostCount},
      runMs,
    }),
);

When(
  '{int} tasks of {int} thousandths for {int} ms are submitted at {int} ms',
  (count: number, cpuMillis: number, runMs: number, at: number) => {
    for (let index = 0; index < count; index += 1) {
      add({name: `${LARGE}-${index}`, at, step: {cpuMillis}, runMs});
    }
  },
);

Given('{string} drains from {int} ms', (host: string, at: number) => {
  drainingFrom.set(host, at);
});

Given(
  'the limit of its organisation holds work named {string}',
  (name: string) => {
    const limit: StartLimit = {
      select: waiting => (waiting[0].workflow.id === name ? [] : waiting),
      take: () => {},
    };
    options = {...options, limit};
  },
);

When(
  /^a task of (\d+) thousandths for (\d+) ms is submitted at (\d+) ms(?: as "(.*)")?$/,
  (cpuMillis: string, runMs: string, at: string, name: string | null) =>
    add({
      name: name ?? LARGE,
      at: Number(at),
      step: {cpuMillis: Number(cpuMillis)},
      runMs: Number(runMs),
    }),
);

When(
  'a task of {int} thousandths for {int} ms is submitted every {int} ms',
  (cpuMillis: number, runMs: number, intervalMs: number) => {
    for (let at = intervalMs; at < 5_000; at += intervalMs) {
      add({name: `small-${at}`, at, step: {cpuMillis}, runMs});
    }
  },
);

When('the pool runs for {int} s', (seconds: number) => {
  ahead = simulatePasses({...options, looksAhead: true}, works, seconds * 1e3);
});

When(
  'the pool runs for {int} s with and without looking ahead',
  (seconds: number) => {
    const untilMs = seconds * 1_000;
    ahead = simulatePasses({...options, looksAhead: true}, works, untilMs);
    today = simulatePasses({...options, looksAhead: false}, works, untilMs);
  },
);

Then(
  'the large jobs wait at most {int} of 100 of the time without looking ahead',
  (percent: number) => {
    const count = works.filter(({name}) => name.startsWith(LARGE)).length;
    const taskCount = count * 4;
    assert.equal(select(ahead, LARGE).length, taskCount);
    const waitMs = getMeanWait(ahead, LARGE);
    const limitMs = (getMeanWait(today, LARGE) * percent) / 100;
    assert.ok(waitMs <= limitMs, `${waitMs} ms, at most ${limitMs} ms`);
  },
);

Then(
  'small tasks wait at most {int} ms longer on average',
  (limitMs: number) => {
    const longerMs = getMeanWait(ahead, 'small') - getMeanWait(today, 'small');
    assert.ok(longerMs <= limitMs, `${longerMs} ms`);
  },
);

Then('as many small tasks start as without looking ahead', () =>
  assert.equal(select(ahead, 'small').length, select(today, 'small').length),
);

Then(
  '{string} starts on {string} before {int} ms',
  (name: string, host: string, limitMs: number) => {
    const [start] = select(ahead, name);
    assert.equal(start?.host, host);
    assert.ok(start.at < limitMs, `${start.at} ms`);
  },
);

Then(
  '{string} starts on any host before {int} ms',
  (name: string, limitMs: number) => {
    const [start] = select(ahead, name);
    assert.ok(start && start.at < limitMs, `${start?.at} ms`);
  },
);

Then(
  'each pass looked at what runs on at most {int} hosts',
  (limit: number) => {
    const looks = ahead.looks / ahead.reservations.length;
    assert.ok(looks > 0 && looks <= limit, `${looks} hosts`);
  },
);

Then('{string} starts after {string}', (name: string, earlier: string) => {
  const [start] = select(ahead, name);
  const [earlierStart] = select(ahead, earlier);
  assert.ok(start.at > earlierStart.at, `${start.at}, ${earlierStart.at}`);
});

Then('each large job runs on one rack', () => {
  for (const {name} of works.filter(each => each.name.startsWith(LARGE))) {
    const racks = new Set(select(ahead, name).map(({rack}) => rack));
    assert.equal(racks.size, 1, name);
  }
});

Then('all placements are those without looking ahead', () => {
  assert.ok(today.starts.length > 0);
  assert.deepEqual(ahead.starts, today.starts);
});

Then('no pass looked at what runs on a host', () =>
  assert.equal(ahead.looks, 0),
);

Then('no room was kept', () =>
  assert.ok(ahead.reservations.every(({list}) => list.length === 0)),
);

Then(
  'the reservation of {string} was noticed as late between {int} and {int} times',
  (name: string, min: number, max: number) => {
    const {late} = ahead;
    assert.ok(late.every(each => each.reservation.task.workflow.id === name));
    assert.ok(late.length >= min && late.length <= max, `${late.length}`);
  },
);

function add(work: SimulatedWork): void {
  const estimateMs = work.runMs * estimateFactor;
  works.push({...work, step: {...work.step, estimateMs}});
}

function select(
  {starts}: PassSimulation,
  prefix: string,
): readonly SimulatedStart[] {
  return starts.filter(({work}) => work.startsWith(prefix));
}

function getMeanWait(simulation: PassSimulation, prefix: string): number {
  const selected = select(simulation, prefix);
  return (
    selected.reduce((sum, {waitedMs}) => sum + waitedMs, 0) / selected.length
  );
}

/** Returns a repeatable source of numbers from 0 to 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
