import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';

import {Result} from 'true-myth';
import {Claims, createClaimedRequests} from '../../src/actors/claims';
import type {Answer, Refusal} from '../../src/actors/requests';
import {ClaimVerdict} from '../../src/decisions/claims';
import {
  RequestAnswer,
  RequestHistory,
  RequestRun,
  RequestViolationKind,
  checkRequests,
} from '../../src/history/requests';
import {createProfiles, findSite} from '../../src/stand_ins/site';
import {createObservableValue} from '../../src/state';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Configuration, Outcome} from '../../src/types';

const COUNT = 4;

let history: RequestHistory;

Given('a sound history of keyed requests', () => {
  const indexes = Array.from({length: COUNT}, (_, i) => i);
  history = {
    attempts: [
      ...indexes.map(i => ({
        requestId: `r${i}`,
        idempotencyKey: `k${i}`,
        idempotent: false,
        content: `c${i}`,
      })),
      {requestId: 'plain', idempotent: false, content: 'plain'},
      {requestId: 'refused', idempotent: false, content: 'refused'},
      {
        requestId: 'repeat',
        idempotencyKey: 'k0',
        idempotent: false,
        content: 'c0',
      },
    ],
    runs: [
      ...indexes.map(i => createRun(`r${i}`, `k${i}`)),
      createRun('plain'),
    ],
    answers: [
      ...indexes.map(i => createAnswer(`r${i}`, `c${i}`)),
      createAnswer('plain', 'plain'),
      {requestId: 'refused', outcome: Outcome.NotRun, complete: false},
      createAnswer('repeat', 'c0'),
    ],
  };
});

When(
  'the fault {string} is planted in the request history',
  (fault: string) => {
    const plant = FAULTS[fault];
    assert.ok(plant, `no fault ${fault}`);
    history = plant(history);
  },
);

When('a site runs whose claims grant every key that is asked for', async () => {
  const runs: RequestRun[] = [];
  const claims: Claims = {
    claim: async () => ({verdict: ClaimVerdict.Granted}),
    finish: async () => {},
    handlers: [],
    drain: async () => {},
    getRetained: () => 0,
    dispose: () => {},
  };
  const profiles = createProfiles(findSite('orbitica'));
  const requests = createClaimedRequests({
    claims,
    telemetry: createTelemetry('entry', LogLevel.Error),
    configuration: createObservableValue<Configuration | undefined>({
      revision: 1,
      operationId: 'first',
      author: 'test',
      acceptedAt: 0,
      profiles,
    }),
    requests: {
      async run({id, idempotencyKey}) {
        runs.push(createRun(id, idempotencyKey));
        return Result.err<Answer, Refusal>(LOST);
      },
      drain: async () => {},
      dispose: () => {},
    },
  });
  const attempts = ['r1', 'r2'].map(requestId => ({
    requestId,
    idempotencyKey: 'k',
    idempotent: false,
    content: 'c',
  }));
  for (const {requestId, ...attempt} of attempts) {
    await requests.run({
      ...attempt,
      id: requestId,
      service: 'planner-api',
      team: '',
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
    });
  }
  history = {attempts, runs, answers: []};
});

Then('the request checker finds nothing', () => {
  assert.deepEqual(checkRequests(history), []);
});

Then('the request checker finds only {string}', (kind: string) => {
  const kinds = new Set(checkRequests(history).map(found => found.kind));
  assert.deepEqual([...kinds], [kind as RequestViolationKind]);
});

const LOST: Refusal = {
  reason: 'retries-exhausted' as Refusal['reason'],
  outcome: Outcome.Unknown,
  detail: 'lost',
};

type Plant = (sound: RequestHistory) => RequestHistory;

const FAULTS: Readonly<Record<string, Plant>> = {
  'a key ran at two workers': sound => ({
    ...sound,
    runs: [...sound.runs, {...createRun('repeat', 'k0'), hostId: 'other'}],
  }),
  'a request without a key ran twice': sound => ({
    ...sound,
    runs: [...sound.runs, createRun('plain')],
  }),
  'a run was reported as not run': sound => ({
    ...sound,
    runs: [...sound.runs, createRun('refused')],
  }),
  'a request that never ran has an answer': sound => ({
    ...sound,
    runs: sound.runs.filter(run => run.requestId !== 'plain'),
  }),
  "two callers got each other's answers": sound =>
    changeAnswers(sound, ({requestId}) => {
      if (requestId === 'r1') return {content: 'c2'};
      return requestId === 'r2' ? {content: 'c1'} : {};
    }),
  'a cut answer ended cleanly': sound =>
    changeAnswers(sound, ({requestId}) =>
      requestId === 'r3' ? {content: undefined} : {},
    ),
  'a second answer came late': sound => ({
    ...sound,
    answers: [...sound.answers, createAnswer('r1', 'c1')],
  }),
};

function changeAnswers(
  sound: RequestHistory,
  change: (answer: RequestAnswer) => Partial<RequestAnswer>,
): RequestHistory {
  const answers = sound.answers.map(answer => ({...answer, ...change(answer)}));
  return {...sound, answers};
}

function createRun(requestId: string, idempotencyKey?: string): RequestRun {
  return {requestId, idempotencyKey, hostId: 'worker'};
}

function createAnswer(requestId: string, content: string): RequestAnswer {
  return {requestId, outcome: Outcome.Run, complete: true, content};
}
