import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {createRequestQueue} from '../../src/actors/requests/request_queue';
import {WaitingRequest} from '../../src/actors/requests/waiting_request';
import {createProfiles} from '../../src/stand_ins/site';
import {Outcome, Profile, Rank} from '../../src/types';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advance} from '../support/paused_clock';
import {Burst, BurstAnswer, runBurst, runBursts} from './request_bursts';

const POOL = 'planner-api';
const SETTLE_MS = 4_000;
const SEED = 4;

let site: MemorySite;
let answers: readonly BurstAnswer[] = [];
let otherAnswers: readonly BurstAnswer[] = [];
let counterexamples: readonly string[] = [];
let started: Rank[] = [];

After(() => site?.dispose());

Given('an entry host that uses a small pool alone', async () => {
  site = createMemorySite({entries: 1});
  await configureSite(site, createProfiles(site.site).map(addQuotas));
  await advance(SETTLE_MS);
  await runBurst(site, {...createBurst(100, 2_000), requestsPerSecond: 50});
});

function addQuotas(profile: Profile): Profile {
  if (profile.pool !== POOL) return profile;
  return {...profile, teamQuotas: {north: 0.5, south: 0.5}};
}

function createBurst(workMs: number, deadlineMs: number): Burst {
  return {
    service: POOL,
    requestsPerSecond: 100_000,
    durationMs: 500,
    workMs,
    deadlineMs,
    chooseEntry: () => 0,
  };
}

When(
  '{int} requests of {int} ms with a deadline of {int} ms are sent at once',
  async (count: number, workMs: number, deadlineMs: number) => {
    const burst = createBurst(workMs, deadlineMs);
    answers = await runBurst(site, {...burst, limit: count});
  },
);

Then(
  'every answered request was answered within {int} ms',
  (limitMs: number) => {
    for (const {result, sentAt, endedAt} of answers) {
      if (result.isOk)
        assert.ok(endedAt - sentAt <= limitMs, `${endedAt - sentAt} ms`);
    }
  },
);

Then('at least {int} of them were answered', (minimum: number) => {
  const answered = answers.filter(({result}) => result.isOk).length;
  assert.ok(answered >= minimum, `${answered} were answered`);
});

Then(
  'the others were refused within {int} ms as not run, with a retry delay',
  (limitMs: number) => {
    for (const {result, sentAt, endedAt} of answers) {
      if (result.isOk) continue;
      assert.equal(result.error.outcome, Outcome.NotRun);
      assert.ok(endedAt - sentAt <= limitMs, `${endedAt - sentAt} ms`);
      assert.ok((result.error.retryAfterMs ?? 0) > 0);
    }
  },
);

Then('no request ended later than {int} ms', (limitMs: number) => {
  const longest = Math.max(...answers.map(a => a.endedAt - a.sentAt));
  assert.ok(longest <= limitMs, `${longest} ms`);
});

When(
  'team {string} overloads the pool while team {string} sends few requests',
  async (north: string, south: string) => {
    const overload = {...createBurst(100, 1_000), durationMs: 2_000};
    [answers, otherAnswers] = await runBursts(site, [
      {...overload, team: north, requestsPerSecond: 1_500},
      {...overload, team: south, requestsPerSecond: 50},
    ]);
  },
);

Then('every request of team {string} was answered', (team: string) => {
  const refused = otherAnswers.filter(({result}) => result.isErr);
  assert.equal(
    refused.length,
    0,
    `${refused.length} requests of team ${team} were refused`,
  );
  assert.ok(answers.some(({result}) => result.isErr));
});

When(
  '{int} requests of high and {int} of low rank are queued and {int} are started',
  (high: number, low: number, starts: number) => {
    const queue = createRequestQueue();
    const add = (rank: Rank, i: number) =>
      queue.add(createWaiting({rank, team: '', deadlineAt: i}, `${rank}${i}`));
    for (let i = 0; i < high; i += 1) add(Rank.High, i);
    for (let i = 0; i < low; i += 1) add(Rank.Low, i);
    started = [];
    for (let i = 0; i < starts; i += 1) {
      const next = queue.takeNext(() => 0);
      if (next) started.push(next.profile.rank);
    }
  },
);

Then('{int} of the started requests are of low rank', (count: number) => {
  assert.equal(started.filter(rank => rank === Rank.Low).length, count);
});

When('{int} random queues are drained', (queues: number) => {
  const waiting = fc.record({
    rank: fc.constantFrom(...Object.values(Rank)),
    team: fc.constantFrom('a', 'b', 'c'),
    deadlineAt: fc.integer({min: 0, max: 50}),
  });
  const checked = fc.check(
    fc.property(fc.array(waiting), items => isDrainedInOrder(items)),
    {seed: SEED, numRuns: queues},
  );
  counterexamples = checked.failed
    ? [JSON.stringify(checked.counterexample)]
    : [];
});

interface QueueItem {
  readonly rank: Rank;
  readonly team: string;
  readonly deadlineAt: number;
}

function isDrainedInOrder(items: readonly QueueItem[]): boolean {
  const queue = createRequestQueue();
  items.forEach((item, i) => queue.add(createWaiting(item, String(i))));
  const taken: WaitingRequest[] = [];
  for (;;) {
    const next = queue.takeNext(() => 0);
    if (!next) break;
    taken.push(next);
  }
  const ids = new Set(taken.map(({request}) => request.id));
  const ordered = taken.every((later, i) =>
    taken
      .slice(0, i)
      .filter(earlier => groupOf(earlier) === groupOf(later))
      .every(earlier => earlier.deadlineAt <= later.deadlineAt),
  );
  return ids.size === items.length && queue.size === 0 && ordered;
}

function groupOf({profile, request}: WaitingRequest): string {
  return `${profile.rank}/${request.team}`;
}

function createWaiting(item: QueueItem, id: string): WaitingRequest {
  const [profile] = createProfiles({
    name: 'test',
    availabilityZones: ['zone-a'],
    pools: [{name: 'pool', workers: 1, spare: false}],
  });
  return {
    request: {
      id,
      service: 'pool',
      team: item.team,
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
    },
    profile: {...profile, rank: item.rank},
    settle: () => {},
    deadlineAt: item.deadlineAt,
    idempotent: true,
    attempts: 0,
    triedHosts: [],
    triedRacks: [],
    mayHaveRun: false,
    freshConnection: false,
  };
}

Then(
  'each queue returned every request once, ordered by deadline within a rank and team',
  () => assert.deepEqual(counterexamples, []),
);
