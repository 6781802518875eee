import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {RunRecord, WorkerModel} from '../../src/stand_ins/worker';
import {Outcome} from '../../src/types';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance} from '../support/paused_clock';
import {BurstAnswer, findFalseNotRun, runBurst} from './request_bursts';

const POOL = 'planner-api';
const SETTLE_MS = 4_000;
const WARM_UP_MS = 2_000;
const REQUESTS_PER_SECOND = 100;
const WORK_MS = 20;
const DEADLINE_MS = 4_000;
const SLOW_MS = 600_000;
const HTTP_ERROR = 500;

let site: MemorySite | undefined;
let answers: readonly BurstAnswer[] = [];
let loadStartedAt = 0;
let runsBefore = 0;
let leaving: WorkerModel | undefined;
let leavingSince = 0;

After(() => {
  site?.dispose();
  site = undefined;
});

Given('three entry hosts with a steady load on one pool', async () => {
  site = createMemorySite({entries: 3});
  await configureSite(site);
  await advance(SETTLE_MS);
  await runLoad(WARM_UP_MS, true);
});

When('{int} workers of the loaded pool fail every request', (count: number) => {
  for (const worker of listPoolWorkers().slice(0, count)) {
    worker.faults.failAll = true;
  }
});

When('a worker of the loaded pool stops answering', () => {
  listPoolWorkers()[0].faults.slowMs = SLOW_MS;
});

When('the store of the loaded site becomes unavailable', () => {
  for (const {storeFaults} of getSite().entries) storeFaults.down = true;
});

When('a worker of the loaded pool announces that it is leaving', () => {
  [leaving] = listPoolWorkers();
  leaving.setLeaving(true);
  leavingSince = Date.now();
});

When('the host list marks a worker of the loaded pool as leaving', () => {
  const {hosts} = getSite();
  [leaving] = listPoolWorkers();
  hosts.set(leaving.host.id, {...leaving.host, leaving: true});
  leavingSince = Date.now();
});

When('the load continues for {int} seconds', (seconds: number) =>
  runLoad(seconds * 1_000, true),
);

When(
  'the load continues with non-idempotent requests for {int} seconds',
  (seconds: number) => runLoad(seconds * 1_000, false),
);

Then(
  'workers received at most {float} attempts per request of the load',
  (limit: number) => {
    const sent = listRuns().length - runsBefore;
    const ratio = sent / answers.length;
    assert.ok(ratio <= limit, `${ratio} attempts per request`);
  },
);

Then(
  'at least {int} percent of the requests of the last {int} seconds succeeded',
  (percent: number, seconds: number) => {
    const lastAt = Math.max(...answers.map(answer => answer.sentAt));
    const last = answers.filter(a => a.sentAt >= lastAt - seconds * 1_000);
    const successes = last.filter(isSuccess).length;
    assert.ok(last.length > 0);
    assert.ok(
      successes >= (percent / 100) * last.length,
      `${successes} of ${last.length}`,
    );
  },
);

Then('no request of the load ran twice', () => {
  const ids = listRuns().map(run => run.id);
  assert.equal(new Set(ids).size, ids.length);
});

Then('no request of the load that ran was reported as not run', () => {
  assert.deepEqual(findFalseNotRun(getSite(), answers), []);
});

Then('some requests of the load were reported as unknown', () => {
  const unknown = answers.filter(
    ({result}) => result.isErr && result.error.outcome === Outcome.Unknown,
  );
  assert.ok(unknown.length > 0);
});

Then(
  'the leaving worker started no request after {int} seconds',
  (seconds: number) => {
    assert.ok(leaving);
    const late = leaving.runs.filter(
      run => run.startedAt > leavingSince + seconds * 1_000,
    );
    assert.equal(late.length, 0);
    assert.ok(answers.some(({sentAt}) => sentAt - loadStartedAt > 5_000));
  },
);

async function runLoad(durationMs: number, idempotent: boolean): Promise<void> {
  runsBefore = listRuns().length;
  loadStartedAt = performance.now();
  const {entries} = getSite();
  answers = await runBurst(getSite(), {
    service: POOL,
    requestsPerSecond: REQUESTS_PER_SECOND,
    durationMs,
    workMs: WORK_MS,
    deadlineMs: DEADLINE_MS,
    idempotent,
    chooseEntry: n => n % entries.length,
  });
}

function isSuccess({result}: BurstAnswer): boolean {
  return result.isOk && result.value.status < HTTP_ERROR;
}

function listPoolWorkers(): WorkerModel[] {
  const workers = [...getSite().workers.values()];
  return workers.filter(({host}) => host.initialPool === POOL);
}

function listRuns(): readonly RunRecord[] {
  return [...getSite().workers.values()].flatMap(worker => worker.runs);
}

function getSite(): MemorySite {
  assert.ok(site);
  return site;
}
