import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {pushConfigurationMethod} from '../../src/protocol';
import {Configuration, JobState} from '../../src/types';
import {advance, settle} from '../support/paused_clock';
import {getControlSite} from './membership.steps';

When(
  'another program writes {string} to the key {string}',
  (value: string, key: string) => {
    const {keyValue} = getControlSite().memory;
    const expectedVersion = keyValue.get(key)?.version ?? 0;
    assert.ok(keyValue.swap({key, expectedVersion, value}).swapped);
  },
);

When(
  'member {int} receives the configuration {string} from another member',
  async (number: number, configuration: string) => {
    const core = getControlSite().members.get(number)?.core;
    const handler = core?.handlers.find(
      ({method}) => method.path === pushConfigurationMethod.path,
    );
    assert.ok(handler);
    await settle(handler.handle({revision: 900, configuration}));
  },
);

Then(
  'after {int} seconds an invalid entry is reported and no unexpected error',
  async (seconds: number) => {
    await advance(seconds * 1_000);
    const invalid = await sumMetric('sesamefront_invalid_entries_total');
    const unexpected = await sumMetric('sesamefront_unexpected_errors_total');
    assert.ok(invalid > 0);
    assert.equal(unexpected, 0);
  },
);

Then('the store holds revision {int} again', (revision: number) => {
  const stored = getControlSite().memory.keyValue.get('config/current');
  const configuration = JSON.parse(stored?.value ?? 'null') as Configuration;
  assert.equal(configuration?.revision, revision);
});

Then(
  'a job submitted to {string} a second later is done within {int} seconds',
  async (service: string, seconds: number) => {
    await advance(1_000);
    const {jobs} = getControlSite().members.get(1)?.core ?? assert.fail();
    const submitted = await settle(
      jobs.submit({
        service,
        team: '',
        size: {slots: 1, processors: 1, memoryMb: 1, accelerators: 0},
        runTimeMs: 500,
        dueAt: Date.now() + 60_000,
        input: 'work-ms=500',
      }),
    );
    const id = submitted.isOk ? submitted.value.id : assert.fail();
    await advance(seconds * 1_000);
    const read = await settle(jobs.get(service, id));
    assert.equal(read.isOk && read.value.state, JobState.Done);
  },
);

/** Returns the sum of a counter over its labels and all members. */
async function sumMetric(name: string): Promise<number> {
  let sum = 0;
  for (const {telemetry} of getControlSite().members.values()) {
    const metric = await telemetry.registry.getSingleMetric(name)?.get();
    for (const {value} of metric?.values ?? []) sum += value;
  }
  return sum;
}
