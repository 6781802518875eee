import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {assignLeaders} from '../../src/decisions/membership';
import {checkLeadership} from '../../src/history/control';
import {Member} from '../../src/types';
import {MemoryEntryHost} from '../support/memory_site';
import {
  advance,
  advanceUntil,
  jumpWallClock,
  settle,
} from '../support/paused_clock';
import {ControlSite, createControlSite} from './control_site';

let site: ControlSite | undefined;
let termBefore = 0;
let leaderBefore = '';
let terms = new Map<string, number>();
let incarnation = '';
let leadersInOutage = 0;

After(() => {
  site?.memory.dispose();
  site = undefined;
});

/** Returns the site of the current scenario. */
export function getControlSite(): ControlSite {
  assert.ok(site);
  return site;
}

Given('a control plane with {int} members', async (count: number) => {
  site = await createControlSite(count);
  await advance(3_000);
  terms = readTerms();
});

Then(
  'each member considers {int} members {string}',
  (count: number, verdict: string) => {
    for (const {core} of getControlSite().members.values()) {
      const views = core.heartbeats.getMemberStatuses();
      const found = views.filter(view => view.verdict === verdict);
      assert.equal(found.length, count, JSON.stringify(views));
    }
  },
);

When(
  'member {int} crashes and restarts with the same id',
  async (number: number) => {
    getControlSite().crash(number);
    await advance(200);
    incarnation = getControlSite().start(number).core.membership.incarnation;
  },
);

Then(
  'within {int} seconds each member sees the new incarnation of member {int}',
  async (seconds: number, number: number) => {
    const isKnown = ({core}: MemoryEntryHost) =>
      core.heartbeats
        .getMemberStatuses()
        .some(
          view =>
            view.memberId === `entry-${number}` &&
            view.incarnation === incarnation,
        );
    await advanceUntil(
      () => [...getControlSite().members.values()].every(isKnown),
      seconds * 1_000,
    );
  },
);

When('member {int} crashes', (number: number) => {
  getControlSite().crash(number);
});

When('member {int} is partitioned from the other members', (number: number) => {
  setPartitioned(getMember(number), true);
});

Then(
  'within {int} seconds member {int} considers member {int} {string} because {string}',
  async (
    seconds: number,
    number: number,
    other: number,
    verdict: string,
    cause: string,
  ) => {
    await advanceUntil(() => {
      const views = getMember(number).core.heartbeats.getMemberStatuses();
      const view = views.find(v => v.memberId === `entry-${other}`);
      return view?.verdict === verdict && view.cause.includes(cause);
    }, seconds * 1_000);
  },
);

Then('every pool has one leader', async () => {
  await getControlSite().waitForLeaders(0);
});

Then('within {int} seconds every pool has one leader', async (s: number) => {
  await getControlSite().waitForLeaders(s * 1_000);
});

When(
  'the member that leads {string} performs a planned stop',
  async (pool: string) => {
    const leader = recordLeader(pool);
    await settle(getMember(leader).core.startStop());
  },
);

When(
  'the member that leads {string} ends its terms after an error',
  (pool: string) => {
    getMember(recordLeader(pool)).core.leadership.endTerms('error');
  },
);

When(
  'the member that leads {string} ends the term of this pool after an error',
  (pool: string) => {
    const {core} = getMember(recordLeader(pool));
    core.leadership.endTerms('error', [pool]);
  },
);

Then('the terms of all other pools are as before', () => {
  const changed = [...readTerms()].filter(
    ([pool, term]) => terms.get(pool) !== term,
  );
  assert.equal(changed.length, 1);
});

When(
  'the member that leads {string} is paused for {int} seconds',
  async (pool: string, seconds: number) => {
    const entry = getMember(recordLeader(pool));
    setPartitioned(entry, true);
    entry.storeFaults.silent = true;
    await advance(seconds * 1_000);
    setPartitioned(entry, false);
    entry.storeFaults.silent = false;
    await advance(2_000);
  },
);

When(
  'the leader record of {string} is deleted from the store',
  (pool: string) => {
    recordLeader(pool);
    const {keyValue} = getControlSite().memory;
    const key = `leaders/${pool}`;
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    assert.ok(keyValue.swap({key, expectedVersion, value: undefined}).swapped);
  },
);

Then(
  /^(?:within (\d+) seconds? )?another member leads "(.*)" under a higher term$/,
  async (seconds: string | null, pool: string) => {
    await waitForTerm(pool, Number(seconds ?? 0));
    assert.notEqual(getControlSite().readPoolRecord(pool).leader, leaderBefore);
    assert.equal(
      getControlSite().readLeaderRecord(pool)?.memberId === leaderBefore,
      false,
    );
  },
);

Then(
  'within {int} seconds {string} is led under a higher term',
  async (seconds: number, pool: string) => {
    await waitForTerm(pool, seconds);
  },
);

Then('the recorded leadership history has no violation', () => {
  const {leadership} = getControlSite().recorder;
  assert.ok(leadership.length > 0);
  assert.deepEqual(checkLeadership(leadership), []);
});

When(
  'the wall clock jumps forward by {int} seconds and then back by {int} seconds',
  async (forwardSeconds: number, backSeconds: number) => {
    jumpWallClock(forwardSeconds * 1_000);
    await advance(5_000);
    jumpWallClock(-backSeconds * 1_000);
    await advance(5_000);
  },
);

Then('no pool has changed its leader', () => {
  assert.deepEqual(readTerms(), terms);
});

When('all members crash and {int} new members start', (count: number) => {
  const {members} = getControlSite();
  for (const number of [...members.keys()]) getControlSite().crash(number);
  for (let i = 1; i <= count; i += 1) {
    getControlSite().start(i, `replacement-${i}`);
  }
});

Then(
  'within {int} seconds every pool is led by a new member under a higher term',
  async (seconds: number) => {
    const {pools, readPoolRecord, waitForLeaders} = getControlSite();
    await advanceUntil(
      () =>
        pools.every(pool => readPoolRecord(pool).term > (terms.get(pool) ?? 0)),
      seconds * 1_000,
    );
    await waitForLeaders(1_000);
  },
);

Then('revision {int} is active at the new members', (revision: number) => {
  for (const {core} of getControlSite().members.values()) {
    assert.equal(core.configuration.current.get()?.revision, revision);
  }
});

When(
  'the store is unavailable to all members for {int} seconds',
  async (seconds: number) => {
    const members = [...getControlSite().members.values()];
    for (const {storeFaults} of members) storeFaults.down = true;
    await advance(seconds * 1_000);
    leadersInOutage = members.filter(
      ({core}) => core.leadership.ledPools.get().size > 0,
    ).length;
    for (const {storeFaults} of members) storeFaults.down = false;
  },
);

Then('no member led a pool at the end of the outage', () => {
  assert.equal(leadersInOutage, 0);
});

Then(
  'no member called the store more than {int} times in any second after the outage',
  async (limit: number) => {
    for (let second = 0; second < 10; second += 1) {
      const before = [...getControlSite().members.values()].map(
        countStoreCalls,
      );
      await advance(1_000);
      const after = [...getControlSite().members.values()].map(countStoreCalls);
      after.forEach((calls, i) => assert.ok(calls - before[i] <= limit));
    }
  },
);

Then(
  'assigning {int} pools to {int} members gives no member more than {int} pools',
  (poolCount: number, memberCount: number, bound: number) => {
    const pools = Array.from({length: poolCount}, (_, i) => `pool-${i}`);
    const members = Array.from(
      {length: memberCount},
      (_, i) => ({id: `member-${i}`, leaving: false}) as Member,
    );
    const assigned = assignLeaders(pools, members, new Map());
    const loads = new Map<string, number>();
    for (const id of assigned.values()) loads.set(id, (loads.get(id) ?? 0) + 1);
    assert.equal(assigned.size, poolCount);
    assert.ok(Math.max(...loads.values()) <= bound);
    const again = assignLeaders(pools, members, assigned);
    assert.deepEqual(new Map([...again].sort()), new Map([...assigned].sort()));
  },
);

function getMember(number: number): MemoryEntryHost {
  const entry = getControlSite().members.get(number);
  assert.ok(entry);
  return entry;
}

function recordLeader(pool: string): number {
  const leader = getControlSite().findLeader(pool);
  leaderBefore = getMember(leader).member.id;
  termBefore = getControlSite().readPoolRecord(pool).term;
  return leader;
}

async function waitForTerm(pool: string, seconds: number): Promise<void> {
  await advanceUntil(
    () => getControlSite().readPoolRecord(pool).term > termBefore,
    seconds * 1_000,
  );
}

function setPartitioned({member}: MemoryEntryHost, blocked: boolean): void {
  const {network, entries} = getControlSite().memory;
  for (const {member: other} of entries) {
    if (other.id === member.id) continue;
    network.setBlocked(member.id, other.id, blocked);
    network.setBlocked(other.id, member.id, blocked);
  }
}

function readTerms(): Map<string, number> {
  const {pools, readPoolRecord} = getControlSite();
  return new Map(pools.map(pool => [pool, readPoolRecord(pool).term]));
}

function countStoreCalls({storeCalls}: MemoryEntryHost): number {
  return Object.values(storeCalls).reduce((sum, calls) => sum + calls, 0);
}
