import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {RequestAnswer, checkRequests} from '../../src/history/requests';
import {Outcome} from '../../src/types';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance, settle} from '../support/paused_clock';
import {runFaultySite} from './faulty_site';
import {HistoryRecorder, createHistoryRecorder} from './request_history';

const KEY = 'booking-1';
const CONTENT = 'confirm-booking-1';
/** Time in which an end is certainly recorded, in ms. */
const RECORDED_MS = 2_000;

let site: MemorySite | undefined;
let recorder: HistoryRecorder;
let writesBefore = 0;
let answers: RequestAnswer[] = [];

After(() => {
  site?.dispose();
  site = undefined;
});

Given('a claims site of {int} entry hosts', async (entries: number) => {
  site = createMemorySite({entries});
  await configureSite(site);
  recorder = createHistoryRecorder(site);
  answers = [];
});

When(
  'a non-idempotent request with one key goes in at every entry host at once',
  async () => {
    const sent = getSite().entries.map((_, entry) => sendKey(entry, 50));
    await settle(Promise.all(sent));
  },
);

When(
  'a keyed request is answered at entry host {int} and its end is recorded',
  async (number: number) => {
    await settle(sendKey(number - 1));
    await advance(RECORDED_MS);
  },
);

When(
  "the key's request goes in again at entry host {int}",
  async (number: number) => {
    await settle(sendKey(number - 1));
  },
);

When(
  'the key comes again at entry host {int} with other content',
  async (number: number) => {
    const sent = recorder.send({
      entry: number - 1,
      idempotencyKey: KEY,
      content: 'confirm-something-else',
    });
    answers.push(await settle(sent));
  },
);

When('claims entry host {int} crashes', (number: number) => {
  getSite().entries[number - 1].crash();
});

When(
  'entry host {int} crashes while it runs a keyed request',
  async (number: number) => {
    void sendKey(number - 1, 1_500);
    await advance(1_000);
    assert.equal(countRuns(), 1);
    getSite().entries[number - 1].crash();
  },
);

When('the claims site loses the store', () => setStoreDown(true));

When('the claims site has the store again', async () => {
  setStoreDown(false);
  await advance(RECORDED_MS);
});

When('no worker of the claims site accepts requests', () =>
  setWorkersLeaving(true),
);

When('the workers of the claims site accept requests', () =>
  setWorkersLeaving(false),
);

When(
  '{int} keyed requests go in over {int} seconds at every entry host in turn',
  async (count: number, seconds: number) => {
    const {entries} = getSite();
    writesBefore = countClaimWrites();
    const sent: Promise<RequestAnswer>[] = [];
    for (let i = 0; i < count; i += 1) {
      const key = `key-${i}`;
      const entry = i % entries.length;
      sent.push(recorder.send({entry, idempotencyKey: key, content: key}));
      await advance((seconds * 1_000) / count);
    }
    const given = await settle(Promise.all(sent));
    assert.ok(given.every(({outcome}) => outcome === Outcome.Run));
    await advance(RECORDED_MS);
  },
);

Then('the store took at most {int} writes of claims', (limit: number) => {
  const writes = countClaimWrites() - writesBefore;
  assert.ok(writes > 0 && writes <= limit, `${writes} writes`);
});

Then(/^the keyed request ran (\d+) times?$/, (times: string) => {
  assert.equal(countRuns(), Number(times));
});

Then('every caller of the key has the answer of that run', () => {
  assert.ok(answers.length > 1);
  for (const {outcome, complete, content} of answers) {
    assert.equal(outcome, Outcome.Run);
    assert.ok(complete);
    assert.equal(content, CONTENT);
  }
});

Then('the last answer to the key is {string}', (outcome: string) => {
  assert.equal(answers.at(-1)?.outcome, outcome);
});

Then('the history of keyed requests holds', () => {
  assert.deepEqual(checkRequests(recorder.getHistory()), []);
});

Then(
  'over {int} seeds from {int} the history of keyed requests under random faults holds',
  async (seeds: number, first: number) => {
    let run = 0;
    for (let seed = first; seed < first + seeds; seed += 1) {
      const history = await runFaultySite(seed);
      assert.deepEqual(checkRequests(history), [], `seed ${seed}`);
      run += history.runs.length;
    }
    assert.ok(run > 0);
  },
);

async function sendKey(entry: number, workMs?: number): Promise<void> {
  const sent = {entry, idempotencyKey: KEY, content: CONTENT, workMs};
  answers.push(await recorder.send(sent));
}

function countRuns(): number {
  const {runs} = recorder.getHistory();
  return runs.filter(run => run.idempotencyKey === KEY).length;
}

/** Counts the writes from the versions of the stored generations' changes. */
function countClaimWrites(): number {
  return getSite().countWrites('claims/');
}

function setStoreDown(down: boolean): void {
  for (const {storeFaults} of getSite().entries) storeFaults.down = down;
}

function setWorkersLeaving(leaving: boolean): void {
  for (const worker of getSite().workers.values()) worker.setLeaving(leaving);
}

function getSite(): MemorySite {
  assert.ok(site);
  return site;
}
