import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  SlotSample,
  countPossibleRuns,
  findOverallocatedSlots,
} from '../../src/history/slots';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance} from '../support/paused_clock';
import {
  BurstAnswer,
  countAnswered,
  findFalseNotRun,
  runBurst,
} from './request_bursts';

const WORK_MS = 200;
const DEADLINE_MS = 2_000;
const BURST_MS = 4_000;
const SLOTS = 64;
/**
 * Time in which the entry hosts receive their first loans from new leaders, in
 * ms.
 */
const SETTLE_MS = 4_000;

let site: MemorySite;
let answers: readonly BurstAnswer[] = [];
let samples: SlotSample[] = [];
let startedAt = 0;

After(() => site?.dispose());

Given(
  '{int} entry hosts that share the pools of a site',
  async (entries: number) => {
    site = createMemorySite({entries});
    await configureSite(site);
    await advance(SETTLE_MS);
  },
);

When(
  '{string} receives {float} times its capacity, half of it at one entry host',
  async (service: string, times: number) => {
    samples = [];
    startedAt = performance.now();
    answers = await runBurst(
      site,
      {
        service,
        requestsPerSecond: (times * SLOTS * 1_000) / WORK_MS,
        durationMs: BURST_MS,
        workMs: WORK_MS,
        deadlineMs: DEADLINE_MS,
        chooseEntry: n => (n % 2 === 0 ? 0 : n % 7),
      },
      () => sampleLoans(service),
    );
  },
);

function sampleLoans(pool: string): void {
  const at = performance.now();
  for (const {member, core} of site.entries) {
    for (const {hostId, slots} of core.getLoans(pool) ?? []) {
      samples.push({at, memberId: member.id, hostId, slots, lent: true});
    }
  }
}

Then(
  'at least {int} % of the requests that the slots could serve are answered in time',
  (percent: number) => {
    const arrivals = answers.map(({sentAt}) => sentAt);
    const until = startedAt + BURST_MS;
    const possible = countPossibleRuns(arrivals, SLOTS, WORK_MS, until);
    const answeredCount = countAnswered(answers, DEADLINE_MS, until);
    assert.ok(
      answeredCount >= (percent / 100) * possible,
      `${answeredCount} of ${possible} possible requests were answered`,
    );
  },
);

Then('the loans never exceeded the slots of any worker', () => {
  assert.ok(samples.length > 0);
  const slotsOf = (id: string) => site.hosts.get(id)?.slots ?? 0;
  assert.deepEqual(findOverallocatedSlots(samples, slotsOf), []);
});

Then('no request that was reported as not run was run', () => {
  assert.deepEqual(findFalseNotRun(site, answers), []);
});

Then(
  'half of the refusals were returned within {int} ms',
  (limitMs: number) => {
    const times = answers
      .filter(({result}) => result.isErr)
      .map(({sentAt, endedAt}) => endedAt - sentAt)
      .sort((a, b) => a - b);
    assert.ok((times[Math.floor(times.length / 2)] ?? 0) <= limitMs);
  },
);
