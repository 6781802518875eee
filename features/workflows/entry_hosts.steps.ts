import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {advance, advanceUntil, settle} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {ANYBODY, QUEUE, TestMember} from './workflow_world';

async function readStates(): Promise<readonly (string | undefined)[]> {
  const [{id}] = getSubmitted();
  const states = await Promise.all(
    getWorld().members.map(({entry}) =>
      settle(entry.intake.readState(QUEUE, id, ANYBODY)),
    ),
  );
  return states.map(state => state.unwrapOr(undefined));
}

Then(
  'every entry host that was not called made at most {int} store calls per second',
  (limit: number) => {
    const [called, ...others] = getWorld().members;
    const leader = getWorld().getLeader();
    const seconds = performance.now() / 1_000;
    for (const member of others) {
      if (member === leader || member === called) continue;
      const rate = member.countStoreCalls() / seconds;
      assert.ok(rate <= limit, `${member.id}: ${rate} calls per second`);
    }
  },
);

When('its state has been read at every entry host', async () => {
  await readStates();
});

Then('every entry host says that it is {string}', async (expected: string) => {
  for (const state of await readStates()) assert.equal(state, expected);
});

When(
  'the store holds entries under the prefix of workflows that are none',
  () => {
    const {keyValue} = getWorld();
    const values = [
      '{"id":',
      'null',
      '7',
      '{"id":"other","steps":[]}',
      '{"steps":null}',
    ];
    values.forEach((value, index) => {
      keyValue.swap({key: `work/${index}`, expectedVersion: 0, value});
    });
  },
);

const REPEATED_ID = '00000000000000f1';
let outcome = '';

When(
  /^the store (does not answer|refuses|answers) "(.*)", and .* there$/,
  async (behaviour: string, id: string) => {
    const member = getWorld().members.find(each => each.id === id);
    assert.ok(member);
    member.faults.silent = behaviour === 'does not answer';
    member.faults.down = behaviour === 'refuses';
    if (behaviour !== 'does not answer') await advance(3_000);
    ({outcome} = await getWorld().submit(member, {}, REPEATED_ID));
  },
);

Then('the outcome is {string}', (expected: string) =>
  assert.equal(outcome, expected),
);

let stopped: TestMember;

When(
  'the leader is killed and the next one is stopped while it reads the stored work',
  async () => {
    const world = getWorld();
    const first = world.getLeader();
    assert.ok(first);
    world.kill(first);
    const others = world.members.filter(member => member !== first);
    for (const {faults} of others) faults.slowMs = 100;
    const findNext = () => others.find(member => member === world.getLeader());
    await advanceUntil(() => findNext() !== undefined, 10_000);
    await advance(10);
    const next = findNext();
    assert.ok(next);
    stopped = next;
    stopped.alive = false;
    void stopped.entry.dispose();
    for (const {faults} of others) faults.slowMs = 0;
  },
);

Then(
  'the stopped entry host makes no calls to the store for {int} s',
  async (seconds: number) => {
    const before = stopped.countStoreCalls();
    await advance(seconds * 1_000);
    assert.equal(stopped.countStoreCalls() - before, 0);
  },
);
