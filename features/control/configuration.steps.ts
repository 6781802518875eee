import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {ChangeRefusal} from '../../src/actors/configuration';
import {checkConfiguration} from '../../src/history/control';
import {Configuration, RefusalReason} from '../../src/types';
import {advance, advanceUntil} from '../support/paused_clock';
import {getControlSite} from './membership.steps';

const CURRENT_KEY = 'config/current';

let results: readonly Result<Configuration, ChangeRefusal>[] = [];

When(
  'two operators set the deadline of {string} to {int} ms and {int} ms at once',
  async (_: string, first: number, second: number) => {
    const {change} = getControlSite();
    results = await Promise.all([
      change(1, 'first-operator', 1, first),
      change(3, 'second-operator', 1, second),
    ]);
  },
);

Then('one change is accepted as revision {int}', (revision: number) => {
  const accepted = results.filter(result => result.isOk);
  assert.equal(accepted.length, 1);
  assert.equal(accepted[0].isOk && accepted[0].value.revision, revision);
});

Then(
  'the other change is refused as a conflict at {string}',
  (place: string) => {
    const [refused] = results.filter(result => result.isErr);
    assert.ok(refused.isErr);
    assert.equal(refused.error.reason, RefusalReason.Conflict);
    const places = refused.error.differences?.map(found => found.place);
    assert.deepEqual(places, [place]);
  },
);

When(
  'the answer to an accepted change is lost and another change is accepted',
  async () => {
    const {change, members} = getControlSite();
    const entry = members.get(1);
    assert.ok(entry);
    entry.storeFaults.lostAnswers = 1;
    await change(1, 'lost', 1, 700);
    entry.storeFaults.lostAnswers = 0;
    await advance(1_000);
    const next = await change(2, 'followed', 2, 800);
    assert.ok(next.isOk);
  },
);

Then(
  'repeating the first change returns revision {int} and changes nothing',
  async (revision: number) => {
    const repeated = await getControlSite().change(3, 'lost', 1, 700);
    assert.ok(repeated.isOk);
    assert.equal(repeated.value.revision, revision);
    assert.equal(readStored().revision, revision + 1);
  },
);

When(
  'the store is restored from a backup taken before revision {int}',
  async (revision: number) => {
    const {memory, change} = getControlSite();
    const backup = memory.keyValue.backup();
    const accepted = await change(2, 'after-backup', revision - 1, 700);
    assert.ok(accepted.isOk);
    await advance(1_000);
    memory.keyValue.restore(backup);
    assert.equal(readStored().revision, revision - 1);
  },
);

Then(
  'within {int} seconds the store holds revision {int} again',
  async (seconds: number, revision: number) => {
    await advanceUntil(
      () => readStored().revision === revision,
      seconds * 1_000,
    );
  },
);

Then('revision {int} remained active at every member', (revision: number) => {
  const {recorder, members} = getControlSite();
  const ids = [...members.values()].map(({member}) => member.id);
  const found = checkConfiguration(recorder.configuration, {members: ids});
  assert.deepEqual(found, []);
  for (const {core} of members.values()) {
    assert.equal(core.configuration.current.get()?.revision, revision);
  }
});

When(
  'revision {int} is accepted, the store becomes unavailable and member {int} restarts',
  async (revision: number, number: number) => {
    const {change, members, crash, start} = getControlSite();
    const accepted = await change(1, 'before-outage', revision - 1, 700);
    assert.ok(accepted.isOk);
    for (const {storeFaults} of members.values()) storeFaults.down = true;
    crash(number);
    start(number).storeFaults.down = true;
  },
);

Then(
  'within {int} seconds revision {int} is active at the restarted member',
  async (seconds: number, revision: number) => {
    await waitForRevision(4, revision, seconds);
  },
);

When(
  'member {int} cannot reach the store and a change is accepted at member {int}',
  async (unreachable: number, operator: number) => {
    const {members, change} = getControlSite();
    const entry = members.get(unreachable);
    assert.ok(entry);
    entry.storeFaults.down = true;
    assert.ok((await change(operator, 'while-lost', 1, 700)).isOk);
  },
);

Then(
  'within {int} seconds revision {int} is active at member {int}',
  async (seconds: number, revision: number, number: number) => {
    await waitForRevision(number, revision, seconds);
  },
);

When('{int} changes are accepted in sequence', async (n: number) => {
  for (let i = 1; i <= n; i += 1) {
    const result = await getControlSite().change(1, `change-${i}`, i, 500 + i);
    assert.ok(result.isOk);
  }
});

Then(
  'the history lists the revisions {int} to {int}',
  (first: number, last: number) => {
    const listed = getConfiguration(1).listAcceptances();
    const wanted = Array.from({length: last - first + 1}, (_, i) => first + i);
    assert.deepEqual(
      listed.map(({revision}) => revision),
      wanted,
    );
  },
);

Then('revision {int} can still be read', async (revision: number) => {
  const found = await getConfiguration(2).readRevision(revision);
  assert.equal(found?.revision, revision);
});

Then(
  'within {int} seconds every member reports revision {int} as active on {int} of {int} members',
  async (
    seconds: number,
    revision: number,
    count: number,
    memberCount: number,
  ) => {
    const members = [...getControlSite().members.values()];
    assert.equal(members.length, memberCount);
    await advanceUntil(
      () =>
        members.every(({core}) => {
          const views = core.heartbeats.getMemberStatuses();
          const matching = views.filter(view => view.revision === revision);
          return matching.length === count;
        }),
      seconds * 1_000,
    );
  },
);

function getConfiguration(number: number) {
  const entry = getControlSite().members.get(number);
  assert.ok(entry);
  return entry.core.configuration;
}

async function waitForRevision(
  number: number,
  revision: number,
  seconds: number,
): Promise<void> {
  await advanceUntil(
    () => getConfiguration(number).current.get()?.revision === revision,
    seconds * 1_000,
  );
}

function readStored(): Configuration {
  const found = getControlSite().memory.keyValue.get(CURRENT_KEY);
  assert.ok(found);
  return JSON.parse(found.value) as Configuration;
}
