import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {
  ConfigurationEvent,
  ConfigurationEventKind,
  LeadershipEvent,
  checkConfiguration,
  checkLeadership,
} from '../../src/history/control';
import {runWithRandomFaults} from './random_faults';

const POOL = 'planner-api';
/**
 * Step timeout of the test runner for the seeded runs, in ms of wall-clock
 * time.
 */
const RUN_TIMEOUT_MS = 120_000;

let leaders: readonly LeadershipEvent[] = [];
let revisions: readonly ConfigurationEvent[] = [];

Then(
  'the histories of leaders and revisions under random faults have no violation for {int} seeds',
  {timeout: RUN_TIMEOUT_MS},
  async (seeds: number) => {
    let accepted = 0;
    let leadershipEvents = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
      const run = await runWithRandomFaults(seed);
      const {leadership, configuration} = run.recorder;
      assert.deepEqual(checkLeadership(leadership), [], `seed ${seed}`);
      assert.deepEqual(
        checkConfiguration(configuration, run),
        [],
        `seed ${seed}`,
      );
      accepted += run.accepted;
      leadershipEvents += leadership.length;
    }
    assert.ok(accepted > seeds, `${accepted} changes were accepted`);
    assert.ok(
      leadershipEvents > seeds,
      `${leadershipEvents} leadership events were recorded`,
    );
  },
);

Given('a history of leaders in which two members lead at once', () => {
  leaders = [
    createLeadershipEvent('a', 1, true),
    createLeadershipEvent('b', 2, true),
  ];
});

Given(
  'a history of leaders in which two members lead under the same term',
  () => {
    leaders = [
      createLeadershipEvent('a', 1, true),
      createLeadershipEvent('a', 1, false),
      createLeadershipEvent('b', 1, true),
    ];
  },
);

Given('a history of leaders in which a later leader has a lower term', () => {
  leaders = [
    createLeadershipEvent('a', 2, true),
    createLeadershipEvent('a', 2, false),
    createLeadershipEvent('b', 1, true),
  ];
});

Then('the leadership checker reports {string}', (rule: string) => {
  const rules = checkLeadership(leaders).map(violation => violation.rule);
  assert.ok(rules.includes(rule as never), `found ${rules.join(', ')}`);
});

Given(
  'a history of revisions in which a member reverts to an older revision',
  () => {
    revisions = [
      createActiveEvent('a', 2, 'y'),
      createActiveEvent('a', 1, 'x'),
    ];
  },
);

Given(
  'a history of revisions in which two changes are accepted as the same revision',
  () => {
    revisions = [
      createAcceptedEvent('a', 1, 'x'),
      createAcceptedEvent('b', 1, 'y'),
    ];
  },
);

Given(
  'a history of revisions in which one change is accepted as two revisions',
  () => {
    revisions = [
      createAcceptedEvent('a', 1, 'x'),
      createAcceptedEvent('a', 2, 'x'),
    ];
  },
);

Given(
  'a history of revisions in which a member does not get an accepted revision',
  () => {
    revisions = [
      createAcceptedEvent('a', 1, 'x'),
      createActiveEvent('a', 1, 'x'),
    ];
  },
);

Then('the revision checker reports {string}', (rule: string) => {
  const found = checkConfiguration(revisions, {members: ['a', 'b']});
  const rules = found.map(violation => violation.rule);
  assert.ok(rules.includes(rule as never), `found ${rules.join(', ')}`);
});

function createLeadershipEvent(
  memberId: string,
  term: number,
  leads: boolean,
): LeadershipEvent {
  return {at: 0, memberId, pool: POOL, term, leads};
}

function createAcceptedEvent(
  memberId: string,
  revision: number,
  operationId: string,
): ConfigurationEvent {
  const kind = ConfigurationEventKind.Accepted;
  return {at: 0, kind, memberId, incarnation: '1', revision, operationId};
}

function createActiveEvent(
  memberId: string,
  revision: number,
  operationId: string,
): ConfigurationEvent {
  const kind = ConfigurationEventKind.Activated;
  return {at: 0, kind, memberId, incarnation: '1', revision, operationId};
}
