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
import {runWithRandomFaults} from './random_faults';
import {HistoryRecorder, createHistoryRecorder} from './request_history';

const KEY = 'booking-1';
const CONTENT = 'confirm-booking-1';
/** Upper bound of the time until the end of a request is recorded, in ms. */
const MAX_RECORDING_MS = 2_000;

let site: MemorySite | undefined;
let recorder: HistoryRecorder;
let writesBefore = 0;
let answers: RequestAnswer[] = [];

After(() => {
  site?.dispose();
  site = undefined;
});

Given('a claims site with {int} entry hosts', async (entries: number) => {
  site = createMemorySite({entries});
  await configureSite(site);
  recorder = createHistoryRecorder(site);
  answers = [];
});

When(
  'a non-idempotent request with the same key is sent to every entry host at once',
  async () => {
    const sent = getSite().entries.map((_, entry) =>
      sendKeyedRequest(entry, 50),
    );
    await settle(Promise.all(sent));
  },
);

When(
  'entry host {int} answers a keyed request and its end is recorded',
  async (number: number) => {
    await settle(sendKeyedRequest(number - 1));
    await advance(MAX_RECORDING_MS);
  },
);

When(
  'the request with the key is sent to entry host {int}',
  async (number: number) => {
    await settle(sendKeyedRequest(number - 1));
  },
);

When(
  'the key is sent to entry host {int} with different content',
  async (number: number) => {
    const sent = recorder.send({
      entry: number - 1,
      idempotencyKey: KEY,
      content: 'confirm-something-else',
    });
    answers.push(await settle(sent));
  },
);

When('entry host {int} of the claims site crashes', (number: number) => {
  getSite().entries[number - 1].crash();
});

When(
  'entry host {int} crashes while a keyed request is running',
  async (number: number) => {
    void sendKeyedRequest(number - 1, 1_500);
    await advance(1_000);
    assert.equal(countRuns(), 1);
    getSite().entries[number - 1].crash();
  },
);

When('the store of the claims site becomes unavailable', () =>
  setStoreDown(true),
);

When('the store of the claims site becomes available again', async () => {
  setStoreDown(false);
  await advance(MAX_RECORDING_MS);
});

When('no worker of the claims site accepts requests', () =>
  setWorkersLeaving(true),
);

When('the workers of the claims site accept requests', () =>
  setWorkersLeaving(false),
);

When(
  '{int} keyed requests are sent over {int} seconds to the entry hosts in turn',
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
    const results = await settle(Promise.all(sent));
    assert.ok(results.every(({outcome}) => outcome === Outcome.Run));
    await advance(MAX_RECORDING_MS);
  },
);

Then('the store received at most {int} writes of claims', (limit: number) => {
  const writes = countClaimWrites() - writesBefore;
  assert.ok(writes > 0 && writes <= limit, `${writes} writes`);
});

Then(/^the keyed request ran (\d+) times?$/, (times: string) => {
  assert.equal(countRuns(), Number(times));
});

Then('every caller that sent the key got the answer of that run', () => {
  assert.ok(answers.length > 1);
  for (const {outcome, complete, content} of answers) {
    assert.equal(outcome, Outcome.Run);
    assert.ok(complete);
    assert.equal(content, CONTENT);
  }
});

Then('the last answer for the key is {string}', (outcome: string) => {
  assert.equal(answers.at(-1)?.outcome, outcome);
});

Then('the history of keyed requests has no violation', () => {
  assert.deepEqual(checkRequests(recorder.getHistory()), []);
});

Then(
  'the histories of keyed requests under random faults have no violation for {int} seeds from {int}',
  async (seeds: number, first: number) => {
    let run = 0;
    for (let seed = first; seed < first + seeds; seed += 1) {
      const history = await runWithRandomFaults(seed);
      assert.deepEqual(checkRequests(history), [], `seed ${seed}`);
      run += history.runs.length;
    }
    assert.ok(run > 0);
  },
);

async function sendKeyedRequest(entry: number, workMs?: number): Promise<void> {
  const sent = {entry, idempotencyKey: KEY, content: CONTENT, workMs};
  answers.push(await recorder.send(sent));
}

function countRuns(): number {
  const {runs} = recorder.getHistory();
  return runs.filter(run => run.idempotencyKey === KEY).length;
}

/** Counts the writes to the stored claims of all partitions. */
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
