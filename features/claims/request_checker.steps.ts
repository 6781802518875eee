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

Given('a valid history of keyed requests', () => {
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
  'the violation {string} is added to the request history',
  (name: string) => {
    const mutate = VIOLATIONS[name];
    assert.ok(mutate, `unknown violation: ${name}`);
    history = mutate(history);
  },
);

When(
  'two requests with the same key are run with claims that grant every key',
  async () => {
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
  },
);

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

type Mutation = (valid: RequestHistory) => RequestHistory;

const VIOLATIONS: Readonly<Record<string, Mutation>> = {
  'a key ran at two workers': valid => ({
    ...valid,
    runs: [...valid.runs, {...createRun('repeat', 'k0'), hostId: 'other'}],
  }),
  'a request without a key ran twice': valid => ({
    ...valid,
    runs: [...valid.runs, createRun('plain')],
  }),
  'a request reported as not run has a run': valid => ({
    ...valid,
    runs: [...valid.runs, createRun('refused')],
  }),
  'a request without a run has an answer': valid => ({
    ...valid,
    runs: valid.runs.filter(run => run.requestId !== 'plain'),
  }),
  'the answers of two callers are swapped': valid =>
    changeAnswers(valid, ({requestId}) => {
      if (requestId === 'r1') return {content: 'c2'};
      return requestId === 'r2' ? {content: 'c1'} : {};
    }),
  'a truncated answer is reported as complete': valid =>
    changeAnswers(valid, ({requestId}) =>
      requestId === 'r3' ? {content: undefined} : {},
    ),
  'a request has a second answer': valid => ({
    ...valid,
    answers: [...valid.answers, createAnswer('r1', 'c1')],
  }),
};

function changeAnswers(
  valid: RequestHistory,
  change: (answer: RequestAnswer) => Partial<RequestAnswer>,
): RequestHistory {
  const answers = valid.answers.map(answer => ({...answer, ...change(answer)}));
  return {...valid, answers};
}

function createRun(requestId: string, idempotencyKey?: string): RequestRun {
  return {requestId, idempotencyKey, hostId: 'worker'};
}

function createAnswer(requestId: string, content: string): RequestAnswer {
  return {requestId, outcome: Outcome.Run, complete: true, content};
}
