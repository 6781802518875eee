import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Result} from 'true-myth';
import {KeyCheck, LOAD_KEY, createKeyCheck} from '../../src/actors/workflows';
import {digestKey} from '../../src/decisions/workflows';
import {LogLevel, createLog} from '../../src/telemetry';
import {Caller, Organisation} from '../../src/types/workflow';
import {advance, settle} from '../support/paused_clock';
import {getWorld} from './running.steps';
import {
  ANYBODY,
  POOL,
  QUEUE,
  TestMember,
  createSpec,
  createStep,
} from './workflow_world';

/** Time in ms within which a change of the configuration takes effect. */
const CONFIGURATION_MS = 3_000;
const POLL_INTERVAL_MS = 20;
const LASTING = {
  spec: createSpec({lasting: true}),
  steps: [createStep({lasting: true})],
};

let outcomes: string[] = [];
let id = '';

function createOrganisation(name: string, keys: string[] = []): Organisation {
  const cap = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const keyDigests = keys.map(digestKey);
  return {name, keyDigests, priority: 0, weight: 1, cap};
}

function getCaller(name: string): Caller {
  if (name === 'a caller without an organisation') return ANYBODY;
  return {organisation: createOrganisation(name.replaceAll('"', ''))};
}

function findMember(memberId: string): TestMember {
  const member = getWorld().members.find(each => each.id === memberId);
  assert.ok(member);
  return member;
}

function listLiveMembers(): readonly TestMember[] {
  return getWorld().members.filter(({alive}) => alive);
}

When(
  /^(".*"|a caller .*) submits the (lasting|short) workflow "(.*)" at every entry host$/,
  async (name: string, kind: string, givenId: string) => {
    id = givenId;
    outcomes = [];
    for (const member of listLiveMembers()) {
      const {outcome} = await getWorld().submit(
        member,
        kind === 'lasting' ? LASTING : {},
        id,
        QUEUE,
        getCaller(name),
      );
      outcomes.push(outcome);
    }
  },
);

Then('its submissions had the outcomes {string}', (expected: string) =>
  assert.equal(outcomes.join(', '), expected),
);

Then(
  /^(".*"|a caller .*) reads "(.*)" within (\d+) s$/,
  async (name: string, expected: string, seconds: string) => {
    const until = performance.now() + Number(seconds) * 1_000;
    for (const {entry} of listLiveMembers()) {
      let state: string | undefined;
      while (state !== expected) {
        assert.ok(performance.now() < until, `reads ${state}`);
        await advance(POLL_INTERVAL_MS);
        const read = entry.intake.readState(QUEUE, id, getCaller(name));
        state = (await settle(read)).unwrapOr(undefined);
      }
    }
  },
);

Then(
  '{string} finds no such workflow, to read or to cancel',
  async (name: string) => {
    for (const {entry} of listLiveMembers()) {
      const caller = getCaller(name);
      const state = await settle(entry.intake.readState(QUEUE, id, caller));
      assert.deepEqual(state, Result.ok(undefined));
      const outcome = await settle(entry.intake.cancel(QUEUE, id, caller));
      assert.equal(outcome, 'not-found');
    }
  },
);

Then(
  'the stored workflow and state name {string} and hold no key',
  (name: string) => {
    for (const key of [`work/${id}`, `live/state/${id}`]) {
      const value = getWorld().keyValue.get(key)?.value ?? '{}';
      assert.equal(JSON.parse(value).organisation, name);
      assert.ok(!/key/i.test(value), value);
    }
  },
);

Given(
  'the operator gives {string} the key {string} in version {int}',
  async (name: string, key: string, version: number) => {
    const {configure} = getWorld();
    configure(version, [QUEUE], [createOrganisation(name, [key])]);
    await advance(100);
  },
);

When(
  /^the store (turns|serves) "(.*)" (?:away|again)$/,
  async (verb, memberId) => {
    findMember(memberId).faults.down = verb === 'turns';
  },
);

When('the pool is reported as full', async () => {
  const {keyValue} = getWorld();
  const load = {pools: {[POOL]: {drainMs: 600_000, runTimeFactors: {}}}};
  const expectedVersion = keyValue.get(LOAD_KEY)?.version ?? 0;
  const value = JSON.stringify(load);
  keyValue.swap({key: LOAD_KEY, expectedVersion, value});
  await advance(5);
});

function createMemberKeyCheck(memberId: string): KeyCheck {
  const {entry} = findMember(memberId);
  return createKeyCheck({
    getConfigurationAgeMs: () => entry.getConfigurationAgeMs(),
    whenConfirmed: timeoutMs => entry.whenConfigurationConfirmed(timeoutMs),
    maxConfigurationAgeMs: CONFIGURATION_MS,
    onRefusal: () => {},
    log: createLog({}, LogLevel.Error),
  });
}

/** Returns the organisation of a key, or the cause of its refusal. */
function identify(memberId: string, key: string): string {
  const configuration = findMember(memberId).entry.getConfiguration();
  assert.ok(configuration);
  const caller = createMemberKeyCheck(memberId).identify({
    queue: QUEUE,
    configuration,
    id: undefined,
    readKey: () => Result.ok(key),
  });
  return caller.isOk ? (caller.value.organisation?.name ?? '') : caller.error;
}

Then(
  '{string} says of the key {string}: {string}',
  (memberId: string, key: string, expected: string) =>
    assert.equal(identify(memberId, key), expected),
);

Then(
  '{string} says of the key {string} for at most {int} ms: {string}, and then: {string}',
  async (
    memberId: string,
    key: string,
    limitMs: number,
    first: string,
    next: string,
  ) => {
    const until = performance.now() + limitMs;
    assert.equal(identify(memberId, key), first);
    while (identify(memberId, key) === first) {
      assert.ok(performance.now() < until);
      await advance(POLL_INTERVAL_MS);
    }
    assert.equal(identify(memberId, key), next);
    await advance(1_000);
    assert.equal(identify(memberId, key), next);
  },
);

Then(
  '{string} says of the key {string} never more {string}, and {string} within {int} ms',
  async (
    memberId: string,
    key: string,
    excluded: string,
    expected: string,
    limitMs: number,
  ) => {
    const until = performance.now() + limitMs;
    while (identify(memberId, key) !== expected) {
      assert.notEqual(identify(memberId, key), excluded);
      assert.ok(performance.now() < until);
      await advance(POLL_INTERVAL_MS);
    }
    await advance(1_000);
    assert.equal(identify(memberId, key), expected);
  },
);

Then(
  '{string} says of the key {string} throughout {int} ms: {string}',
  async (memberId: string, key: string, ms: number, expected: string) => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      assert.equal(identify(memberId, key), expected);
      await advance(POLL_INTERVAL_MS);
    }
  },
);

let waiting: Promise<void> | undefined;

When(
  'a call waits at {string} for the configuration, {int} ms at most',
  (memberId: string, timeoutMs: number) => {
    waiting = createMemberKeyCheck(memberId).whenReady(QUEUE, timeoutMs);
  },
);

Then(
  'the call is ready within {int} ms, and {string} says of the key {string}: {string}',
  async (limitMs: number, memberId: string, key: string, expected: string) => {
    const startedAt = performance.now();
    assert.ok(waiting);
    await settle(waiting);
    assert.ok(performance.now() - startedAt <= limitMs);
    assert.equal(identify(memberId, key), expected);
  },
);
