import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  HostHealth,
  HostStatus,
  LoadReport,
  createHostHealth,
} from '../../src/decisions/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {TaskEndKind} from '../../src/types/workflow';
import {LOAD_KEY} from '../../src/actors/workflows';
import {getWorld} from './running.steps';
import {POOL} from './workflow_world';

const HOST = 'host-1';

let health: HostHealth;
let now = 0;

When('every run on one host stalls', () => {
  const [host] = getWorld().fleet.hosts.values();
  host.faults.hanging = true;
});

Then('at most {int} runs have failed', (limit: number) => {
  const failed = getWorld().fleet.events.filter(
    ({kind, how}) => kind === FleetEventKind.End && how === TaskEndKind.Failed,
  );
  assert.ok(failed.length > 0 && failed.length <= limit, `${failed.length}`);
});

Given('an empty record of host health', () => {
  health = createHostHealth();
  now = 1_000;
});

When(
  '{int} workflows fail {int} times each on a host',
  (workflows: number, times: number) => {
    for (let index = 0; index < workflows * times; index += 1) {
      health.recordFailure(HOST, `workflow-${index % workflows}`, now);
    }
  },
);

When('a third workflow fails there too', () => {
  health.recordFailure(HOST, 'workflow-3', now);
});

When('a run succeeds there', () => health.recordSuccess(HOST));

When('{int} s pass for the health record', (seconds: number) => {
  now += seconds * 1_000;
});

Then('the host is {string}', (trust: HostStatus) => {
  assert.equal(health.getStatus(HOST, now), trust);
});

Then('the leader reports a drain time of {int} s at most', (limitS: number) => {
  const entry = getWorld().keyValue.get(LOAD_KEY);
  assert.ok(entry);
  const {pools} = JSON.parse(entry.value) as LoadReport;
  const {drainMs} = pools[POOL];
  assert.ok(drainMs > 0 && drainMs <= limitS * 1_000, `${drainMs} ms`);
});
