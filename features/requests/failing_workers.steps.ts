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
import {BurstAnswer, findFalseNotRun, runBurst} from './support';

const POOL = 'planner-api';
const SETTLE_MS = 4_000;
const WARM_MS = 2_000;
const PER_SECOND = 100;
const WORK_MS = 20;
const DEADLINE_MS = 4_000;
const SLOW_MS = 600_000;
const HTTP_ERROR = 500;

let site: MemorySite | undefined;
let answers: readonly BurstAnswer[] = [];
let loadStartedAt = 0;
let runsBefore = 0;
let leaving: WorkerModel | undefined;
let leftAt = 0;

After(() => {
  site?.dispose();
  site = undefined;
});

Given('three entry hosts under a steady load on one pool', async () => {
  site = createMemorySite({entries: 3});
  await configureSite(site);
  await advance(SETTLE_MS);
  await load(WARM_MS, true);
});

When('{int} workers of the loaded pool fail every request', (count: number) => {
  for (const worker of listPool().slice(0, count)) {
    worker.faults.failAll = true;
  }
});

When('a worker of the loaded pool falls silent', () => {
  listPool()[0].faults.slowMs = SLOW_MS;
});

When('the loaded site loses the store', () => {
  for (const {storeFaults} of getSite().entries) storeFaults.down = true;
});

When('a worker of the loaded pool says that it leaves', () => {
  [leaving] = listPool();
  leaving.setLeaving(true);
  leftAt = Date.now();
});

When('the host list marks a worker of the loaded pool as leaving', () => {
  const {hosts} = getSite();
  [leaving] = listPool();
  hosts.set(leaving.host.id, {...leaving.host, leaving: true});
  leftAt = Date.now();
});

When('the load goes on for {int} seconds', (seconds: number) =>
  load(seconds * 1_000, true),
);

When('the load goes on non-idempotent for {int} seconds', (seconds: number) =>
  load(seconds * 1_000, false),
);

Then(
  'the load was sent at most {float} times as often as it was asked for',
  (limit: number) => {
    const sent = listRuns().length - runsBefore;
    const ratio = sent / answers.length;
    assert.ok(ratio <= limit, `${ratio} times`);
  },
);

Then(
  'at least {int} percent of the last {int} seconds were answered well',
  (percent: number, seconds: number) => {
    const lastAt = Math.max(...answers.map(answer => answer.sentAt));
    const last = answers.filter(a => a.sentAt >= lastAt - seconds * 1_000);
    const well = last.filter(isWell).length;
    assert.ok(last.length > 0);
    assert.ok(
      well >= (percent / 100) * last.length,
      `${well} of ${last.length}`,
    );
  },
);

Then('no request of the load ran twice', () => {
  const ids = listRuns().map(run => run.id);
  assert.equal(new Set(ids).size, ids.length);
});

Then('no request of the load that ran was told as not run', () => {
  assert.deepEqual(findFalseNotRun(getSite(), answers), []);
});

Then('some requests of the load were told as unknown', () => {
  const unknown = answers.filter(
    ({result}) => result.isErr && result.error.outcome === Outcome.Unknown,
  );
  assert.ok(unknown.length > 0);
});

Then(
  'the leaving worker started nothing after {int} seconds',
  (seconds: number) => {
    assert.ok(leaving);
    const late = leaving.runs.filter(
      run => run.startedAt > leftAt + seconds * 1_000,
    );
    assert.equal(late.length, 0);
    assert.ok(answers.some(({sentAt}) => sentAt - loadStartedAt > 5_000));
  },
);

async function load(forMs: number, idempotent: boolean): Promise<void> {
  runsBefore = listRuns().length;
  loadStartedAt = performance.now();
  const {entries} = getSite();
  answers = await runBurst(getSite(), {
    service: POOL,
    perSecond: PER_SECOND,
    forMs,
    workMs: WORK_MS,
    deadlineMs: DEADLINE_MS,
    idempotent,
    chooseEntry: n => n % entries.length,
  });
}

function isWell({result}: BurstAnswer): boolean {
  return result.isOk && result.value.status < HTTP_ERROR;
}

function listPool(): WorkerModel[] {
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
