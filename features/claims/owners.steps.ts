import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {ActorSystemRef, start, stop} from 'nact';
import {Result} from 'true-myth';
import {Claims, createClaims} from '../../src/actors/claims';
import {ClaimIdentity, ClaimVerdict} from '../../src/decisions/claims';
import {Store, StoreFailure, Swap} from '../../src/ports';
import {createMemoryNetwork} from '../../src/stand_ins/peers';
import {
  KeyValue,
  StoreFaults,
  createKeyValue,
  createMemoryStore,
  createStoreFaults,
} from '../../src/stand_ins/platform';
import {LogLevel, createTelemetry} from '../../src/telemetry';
import {Member, Outcome} from '../../src/types';
import {advance, settle} from '../support/paused_clock';

const RETENTION_MS = 3_600_000;
const TIMEOUT_MS = 2_000;
const MINUTE_MS = 60_000;
const LOG_KEY = 'claims/0/000000001';

interface MemberFixture {
  readonly claims: Claims;
  readonly faults: StoreFaults;
  /**
   * Writes that have not taken effect yet; undefined while writes are not
   * delayed.
   */
  delayedWrites: Swap[] | undefined;
}

let systems: ActorSystemRef[] = [];
let keyValue: KeyValue;
let members: Readonly<Record<string, MemberFixture>> = {};
let lastNumber = 0;
let grantedRequestIds = new Map<number, string>();

After(() => {
  for (const {claims} of Object.values(members)) claims.dispose();
  members = {};
  if (systems.length > 0) keyValue.dispose();
  systems.forEach(stop);
  systems = [];
});

Given('two members that share the claim partitions', () => {
  keyValue = createKeyValue();
  lastNumber = 100;
  grantedRequestIds = new Map();
  members = {a: createMember('a'), b: createMember('b')};
});

Given(
  'another program writes {string} to the log of the claim partitions',
  (value: string) => {
    assert.ok(keyValue.swap({key: LOG_KEY, expectedVersion: 0, value}).swapped);
  },
);

When('the entry of the other program is deleted', () => {
  const expectedVersion = keyValue.get(LOG_KEY)?.version ?? 0;
  const swap = {key: LOG_KEY, expectedVersion, value: undefined};
  assert.ok(keyValue.swap(swap).swapped);
});

When(/^member "(\w)" is granted the claim of key (\d+)$/, expectGranted);

When(
  'member {string}, which considers {string} gone, is granted the claim of key {int}',
  (name: string, _other: string, key: number) =>
    expectGranted(name, String(key)),
);

Then(
  'member {string}, which resumes with its outdated state, gets {string} for key {int}',
  expectVerdict,
);

Then('member {string} gets {string} for key {int}', expectVerdict);

When(
  'the writes of member {string} are delayed and their answers are lost',
  (name: string) => {
    members[name].delayedWrites = [];
  },
);

When('the delayed writes of member {string} take effect', (name: string) => {
  for (const swap of members[name].delayedWrites ?? []) keyValue.swap(swap);
  members[name].delayedWrites = undefined;
});

When(
  'the writes of member {string} take effect but their answers are lost',
  (name: string) => {
    members[name].faults.lostAnswers = 1;
  },
);

When('the store is unavailable to member {string}', (name: string) => {
  members[name].faults.down = true;
});

When(
  'member {string} records the end of key {int}',
  async (name: string, key: number) => {
    const {partition, key: digest} = identify(key);
    const requestId = grantedRequestIds.get(key) ?? '';
    const headers = '{}';
    const answer = {status: 200, headers, body: '', hostId: 'worker'};
    const end = {partition, key: digest, requestId, outcome: Outcome.Run};
    await settle(members[name].claims.finish({...end, answer}));
  },
);

When(
  'a new key is claimed every {int} minutes for {int} minutes at member {string}',
  async (every: number, minutes: number, name: string) => {
    for (let passed = 0; passed < minutes; passed += every) {
      await expectGranted(name, String((lastNumber += 1)));
      for (let i = 0; i < every; i += 1) await advance(MINUTE_MS);
    }
  },
);

Then('the claims occupy at most {int} keys of the store', (limit: number) => {
  const {entries} = keyValue.list('claims/');
  assert.ok(entries.length <= limit, `${entries.length} keys`);
});

async function expectGranted(name: string, key: string): Promise<void> {
  const reply = await claim(name, Number(key));
  assert.equal(reply, ClaimVerdict.Granted);
}

async function expectVerdict(
  name: string,
  verdict: string,
  key: number,
): Promise<void> {
  assert.equal(await claim(name, key), verdict);
}

async function claim(name: string, key: number): Promise<ClaimVerdict> {
  const requestId = `request-${(lastNumber += 1)}`;
  const pending = members[name].claims.claim(
    identify(key),
    requestId,
    TIMEOUT_MS,
  );
  const {verdict} = await settle(pending);
  if (verdict === ClaimVerdict.Granted) grantedRequestIds.set(key, requestId);
  return verdict;
}

/** Returns the identity of a key; all keys belong to partition 0. */
function identify(key: number): ClaimIdentity {
  return {partition: 0, key: `key-${key}`, fingerprint: 'f'};
}

/**
 * Creates a member whose member list contains only itself, so that it considers
 * itself the owner.
 */
function createMember(id: string): MemberFixture {
  const faults = createStoreFaults();
  const system = start();
  systems.push(system);
  const inner = createMemoryStore(keyValue, faults, () => 0);
  const store: Store = {
    ...inner,
    async swap(swap) {
      if (!member.delayedWrites) return inner.swap(swap);
      member.delayedWrites.push(swap);
      return Result.err(StoreFailure.AnswerLost);
    },
  };
  const member: MemberFixture = {
    faults,
    delayedWrites: undefined,
    claims: createClaims({
      system,
      store,
      peers: createMemoryNetwork().createPeers(id),
      telemetry: createTelemetry(id, LogLevel.Error),
      memberId: id,
      getMembers: () => [{id, leaving: false} as Member],
      retentionMs: RETENTION_MS,
    }),
  };
  return member;
}
