import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {
  ConfigurationEvent,
  ConfigurationEventKind,
  LeadershipEvent,
  checkConfiguration,
  checkLeadership,
} from '../../src/history/control';
import {runFaultyControlSite} from './faulty_control_site';

const POOL = 'planner-api';
/** Wall-clock limit of the seeded runs, for the test runner only. */
const RUN_LIMIT_MS = 120_000;

let leaders: readonly LeadershipEvent[] = [];
let revisions: readonly ConfigurationEvent[] = [];

Then(
  'over {int} seeds the history of leaders and revisions under random faults holds',
  {timeout: RUN_LIMIT_MS},
  async (seeds: number) => {
    let accepted = 0;
    let led = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
      const run = await runFaultyControlSite(seed);
      const {leadership, configuration} = run.recorder;
      assert.deepEqual(checkLeadership(leadership), [], `seed ${seed}`);
      assert.deepEqual(
        checkConfiguration(configuration, run),
        [],
        `seed ${seed}`,
      );
      accepted += run.accepted;
      led += leadership.length;
    }
    assert.ok(accepted > seeds, `${accepted} changes were accepted`);
    assert.ok(led > seeds, `${led} events of leaders`);
  },
);

Given('a recorded history of leaders in which two members lead at once', () => {
  leaders = [lead('a', 1, true), lead('b', 2, true)];
});

Given(
  'a recorded history of leaders in which two members lead under one term',
  () => {
    leaders = [lead('a', 1, true), lead('a', 1, false), lead('b', 1, true)];
  },
);

Given(
  'a recorded history of leaders in which a later leader has a lower term',
  () => {
    leaders = [lead('a', 2, true), lead('a', 2, false), lead('b', 1, true)];
  },
);

Then('the check of leaders reports {string}', (rule: string) => {
  const rules = checkLeadership(leaders).map(violation => violation.rule);
  assert.ok(rules.includes(rule as never), `found ${rules.join(', ')}`);
});

Given(
  'a recorded history of revisions in which a member goes back to an older revision',
  () => {
    revisions = [inForce('a', 2, 'y'), inForce('a', 1, 'x')];
  },
);

Given(
  'a recorded history of revisions in which two changes are accepted as one revision',
  () => {
    revisions = [accept('a', 1, 'x'), accept('b', 1, 'y')];
  },
);

Given(
  'a recorded history of revisions in which one change is accepted twice',
  () => {
    revisions = [accept('a', 1, 'x'), accept('a', 2, 'x')];
  },
);

Given(
  'a recorded history of revisions in which a member misses an accepted revision',
  () => {
    revisions = [accept('a', 1, 'x'), inForce('a', 1, 'x')];
  },
);

Then('the check of revisions reports {string}', (rule: string) => {
  const found = checkConfiguration(revisions, {members: ['a', 'b']});
  const rules = found.map(violation => violation.rule);
  assert.ok(rules.includes(rule as never), `found ${rules.join(', ')}`);
});

function lead(memberId: string, term: number, leads: boolean): LeadershipEvent {
  return {at: 0, memberId, pool: POOL, term, leads};
}

function accept(
  memberId: string,
  revision: number,
  operationId: string,
): ConfigurationEvent {
  const kind = ConfigurationEventKind.Accepted;
  return {at: 0, kind, memberId, incarnation: '1', revision, operationId};
}

function inForce(
  memberId: string,
  revision: number,
  operationId: string,
): ConfigurationEvent {
  const kind = ConfigurationEventKind.InForce;
  return {at: 0, kind, memberId, incarnation: '1', revision, operationId};
}
