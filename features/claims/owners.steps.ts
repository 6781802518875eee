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

interface SharingMember {
  readonly claims: Claims;
  readonly faults: StoreFaults;
  /** Holds writes back while it is set. */
  held: Swap[] | undefined;
}

let systems: ActorSystemRef[] = [];
let keyValue: KeyValue;
let members: Readonly<Record<string, SharingMember>> = {};
let made = 0;
let granted = new Map<number, string>();

After(() => {
  for (const {claims} of Object.values(members)) claims.dispose();
  members = {};
  if (systems.length > 0) keyValue.dispose();
  systems.forEach(stop);
  systems = [];
});

Given('two members that share the claims', () => {
  keyValue = createKeyValue();
  made = 100;
  granted = new Map();
  members = {a: createMember('a'), b: createMember('b')};
});

When(/^member "(\w)" is granted the claim of key (\d+)$/, grant);

When(
  'member {string} believes that {string} is gone and is granted the claim of key {int}',
  (name: string, _gone: string, key: number) => grant(name, String(key)),
);

Then(
  'member {string}, awake with what it knew, is told {string} for key {int}',
  tell,
);

Then('member {string} is told {string} for key {int}', tell);

When(
  'the writes of member {string} are held back and their answers lost',
  (name: string) => {
    members[name].held = [];
  },
);

When('the writes of member {string} take effect at last', (name: string) => {
  for (const swap of members[name].held ?? []) keyValue.swap(swap);
  members[name].held = undefined;
});

When(
  'the answers of member {string} are lost after its writes took effect',
  (name: string) => {
    members[name].faults.lostAnswers = 1;
  },
);

When('the store is away for member {string}', (name: string) => {
  members[name].faults.down = true;
});

When(
  'member {string} records the end of key {int}',
  async (name: string, key: number) => {
    const {partition, key: digest} = identify(key);
    const requestId = granted.get(key) ?? '';
    const headers = '{}';
    const answer = {status: 200, headers, body: '', hostId: 'worker'};
    const end = {partition, key: digest, requestId, outcome: Outcome.Run};
    await settle(members[name].claims.finish({...end, answer}));
  },
);

When(
  'a claim is made every {int} minutes for {int} minutes at member {string}',
  async (every: number, minutes: number, name: string) => {
    for (let passed = 0; passed < minutes; passed += every) {
      await grant(name, String((made += 1)));
      for (let i = 0; i < every; i += 1) await advance(MINUTE_MS);
    }
  },
);

Then('the claims take at most {int} keys of the store', (limit: number) => {
  const {entries} = keyValue.list('claims/');
  assert.ok(entries.length <= limit, `${entries.length} keys`);
});

async function grant(name: string, key: string): Promise<void> {
  const reply = await claim(name, Number(key));
  assert.equal(reply, ClaimVerdict.Granted);
}

async function tell(name: string, verdict: string, key: number): Promise<void> {
  assert.equal(await claim(name, key), verdict);
}

async function claim(name: string, key: number): Promise<ClaimVerdict> {
  const requestId = `request-${(made += 1)}`;
  const asked = members[name].claims.claim(
    identify(key),
    requestId,
    TIMEOUT_MS,
  );
  const {verdict} = await settle(asked);
  if (verdict === ClaimVerdict.Granted) granted.set(key, requestId);
  return verdict;
}

/** Puts all keys into one partition. */
function identify(key: number): ClaimIdentity {
  return {partition: 0, key: `key-${key}`, fingerprint: 'f'};
}

/** Creates a member that believes itself alone. */
function createMember(id: string): SharingMember {
  const faults = createStoreFaults();
  const system = start();
  systems.push(system);
  const inner = createMemoryStore(keyValue, faults, () => 0);
  const store: Store = {
    ...inner,
    async swap(swap) {
      if (!member.held) return inner.swap(swap);
      member.held.push(swap);
      return Result.err(StoreFailure.AnswerLost);
    },
  };
  const member: SharingMember = {
    faults,
    held: undefined,
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
