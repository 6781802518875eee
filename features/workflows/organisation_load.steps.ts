import assert from 'node:assert/strict';
import {Before, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  LOAD_KEY,
  SubmitOutcome,
  WorkflowDraft,
} from '../../src/actors/workflows';
import {
  Backlog,
  LoadReport,
  OrganisationLoad,
  checkAdmission,
  getDrainTimes,
} from '../../src/decisions/workflows';
import {Capacity, Organisation, Workflow} from '../../src/types/workflow';
import {getSubmitted, getWorld} from './running.steps';
import {
  ADVISED_QUEUE,
  FIRST_VERSION,
  QUEUE,
  createSpec,
  createStep,
} from './workflow_world';

const NO_CAP: Capacity = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
const CPU_MILLIS = 100_000;

/** Backlogs with their drain times. */
interface Drained {
  readonly backlogs: readonly Backlog[];
  readonly times: ReadonlyMap<string, number>;
}

let load: LoadReport | undefined;
let ageMs = 0;
let workflowStep = createStep();
let drained: readonly Drained[] = [];

Before(() => {
  load = undefined;
  ageMs = 0;
  drained = [];
});

function createLoad(
  drainMs: number,
  organisations?: Record<string, OrganisationLoad>,
): LoadReport {
  const pool = {drainMs, runTimeFactors: {}};
  return {
    pools: {[QUEUE.pool]: organisations ? {...pool, organisations} : pool},
    waiting: {},
  };
}

Given(
  'a pool that is busy for {int} ms, {string} for {int} ms and {string} for {int} ms',
  (
    drainMs: number,
    first: string,
    firstMs: number,
    second: string,
    secondMs: number,
  ) => {
    load = createLoad(drainMs, {
      [first]: {drainMs: firstMs},
      [second]: {drainMs: secondMs},
    });
  },
);

Given(
  'a pool that is busy for {int} ms, in a report without organisations',
  (drainMs: number) => {
    load = createLoad(drainMs);
  },
);

Given(
  '{string} is beyond its rate for {int} ms',
  (organisation: string, excessMs: number) => {
    const {drainMs = 0, organisations = {}} = load?.pools[QUEUE.pool] ?? {};
    const own = {...organisations[organisation], excessMs};
    load = createLoad(drainMs, {...organisations, [organisation]: own});
  },
);

When('the report is {int} ms old', (ms: number) => {
  ageMs = ms;
});

When(
  '{string} and {string} submit a workflow that must start within {int} ms',
  (_first: string, _second: string, limitMs: number) => {
    // Three times its objective, less its run time.
    const estimateMs =
      (limitMs - 3 * QUEUE.targetDurationMs) / (3 * QUEUE.stretch - 1);
    workflowStep = createStep({estimateMs});
  },
);

function check(organisation: string): ReturnType<typeof checkAdmission> {
  const workflow: Workflow = {
    id: '0000000000000001',
    queue: QUEUE.name,
    organisation,
    pool: QUEUE.pool,
    priority: 0,
    maxAttempts: 3,
    stretch: QUEUE.stretch,
    targetDurationMs: QUEUE.targetDurationMs,
    acceptedAt: 0,
    spec: '',
    steps: [workflowStep],
    occurrences: 1,
    firstAt: 0,
    intervalMs: 0,
  };
  return checkAdmission(workflow, load, ageMs);
}

Then(
  '{string} is refused for its {string} and told to come back after {int} ms',
  (organisation: string, cause: string, retryAfterMs: number) => {
    const refusal = check(organisation);
    assert.equal(refusal?.cause, cause);
    assert.ok(Math.abs((refusal?.retryAfterMs ?? 0) - retryAfterMs) <= 1);
  },
);

Then('{string} is accepted', (organisation: string) =>
  assert.equal(check(organisation), undefined),
);

When(
  'the drain times of {int} random backlogs are computed with seed {int}',
  (count: number, seed: number) => {
    const generateBacklog = fc.record({
      weight: fc.integer({min: 1, max: 40}),
      work: fc.integer({min: 0, max: 10_000_000}),
      limit: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 120_000})),
    });
    drained = fc
      .sample(fc.array(generateBacklog, {minLength: 1, maxLength: 20}), {
        numRuns: count,
        seed,
      })
      .map(sampled => {
        const backlogs = sampled.map((each, index) => ({
          ...each,
          name: `organisation-${index}`,
        }));
        return {backlogs, times: getDrainTimes(backlogs, CPU_MILLIS)};
      });
  },
);

/** Returns the drain time with the share that is left if all others want all. */
function getShareMs(backlog: Backlog, backlogs: readonly Backlog[]): number {
  const sum = backlogs.reduce((total, {weight}) => total + weight, 0);
  const share = (CPU_MILLIS * backlog.weight) / sum;
  const rate = backlog.limit > 0 ? Math.min(share, backlog.limit) : share;
  return backlog.work / rate;
}

Then('each organisation is done by the time that its share alone takes', () => {
  for (const {backlogs, times} of drained) {
    for (const backlog of backlogs) {
      const timeMs = times.get(backlog.name) ?? 0;
      const boundMs = getShareMs(backlog, backlogs);
      assert.ok(timeMs <= boundMs * 1.001 + 1, `${timeMs} of ${boundMs}`);
    }
  }
});

Then('the last is done when the pool is', () => {
  for (const {backlogs, times} of drained) {
    if (backlogs.some(({limit}) => limit > 0)) continue;
    const sum = backlogs.reduce((total, {work}) => total + work, 0);
    const lastMs = Math.max(0, ...times.values());
    assert.ok(Math.abs(lastMs - sum / CPU_MILLIS) <= 1 + lastMs * 0.001);
  }
});

Then(
  'more work of one organisation never delays another beyond its share',
  () => {
    for (const {backlogs} of drained) {
      const [first, ...others] = backlogs;
      const grown = [{...first, work: first.work * 8}, ...others];
      const times = getDrainTimes(grown, CPU_MILLIS);
      for (const other of others) {
        const boundMs = getShareMs(other, grown);
        assert.ok((times.get(other.name) ?? 0) <= boundMs * 1.001 + 1);
      }
    }
  },
);

Given(
  'organisations {string} and {string} that are owed {int} submissions a second',
  (first: string, second: string, weight: number) => {
    const organisations: Organisation[] = [first, second].map(name => ({
      name,
      keyDigests: [],
      priority: 0,
      weight,
      cap: NO_CAP,
    }));
    const world = getWorld();
    const queues = [QUEUE, ADVISED_QUEUE];
    world.configure(FIRST_VERSION + 1, queues, organisations);
  },
);

async function submit(
  memberIndex: number,
  organisation: string,
  taskCount = 1,
  workMs = 500,
): Promise<SubmitOutcome> {
  const world = getWorld();
  const draft: Partial<WorkflowDraft> & {organisation: string} = {
    organisation,
    spec: createSpec({workMs, cpuMillis: 4_000}),
    steps: [createStep({taskCount, estimateMs: workMs, cpuMillis: 4_000})],
  };
  const answer = await world.submit(world.members[memberIndex], draft);
  getSubmitted().push(answer);
  return answer.outcome;
}

When(
  '{string} submits {int} workflows of {int} tasks of {int} ms at one entry host',
  async (
    organisation: string,
    count: number,
    taskCount: number,
    workMs: number,
  ) => {
    for (let index = 0; index < count; index += 1) {
      await submit(0, organisation, taskCount, workMs);
    }
  },
);

Then(
  /^a workflow of "(.*)" is (refused|accepted) at every entry host$/,
  async (organisation: string, outcome: SubmitOutcome) => {
    for (const [index, {alive}] of getWorld().members.entries()) {
      if (alive) assert.equal(await submit(index, organisation), outcome);
    }
  },
);

Then('the load report has less than {int} characters', (limit: number) => {
  const {value = ''} = getWorld().keyValue.get(LOAD_KEY) ?? {};
  assert.ok(value.includes('organisations'));
  assert.ok(value.length < limit, value);
});

Given(
  'an earlier leader has reported a pool that is busy for {int} ms',
  (drainMs: number) => {
    const {keyValue} = getWorld();
    const report = createLoad(drainMs, {large: {drainMs}});
    keyValue.swap({
      key: LOAD_KEY,
      expectedVersion: keyValue.get(LOAD_KEY)?.version ?? 0,
      value: JSON.stringify(report),
    });
  },
);
