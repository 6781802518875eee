import assert from 'node:assert/strict';
import {When} from '@cucumber/cucumber';
import {FLEET_REGISTRY_PREFIX} from '../../src/stand_ins/fleet';
import {findBusiestMachine, getWorld} from './running.steps';
import {POOL} from './workflow_world';

When(
  /^another program registers a host of (.*) on the machine of the host with the most runs$/,
  (pool: string) => {
    const {fleet, keyValue} = getWorld();
    const host = fleet.getHost(findBusiestMachine())?.host;
    assert.ok(host);
    const entry = {
      ...host,
      id: 'agent-1',
      bornAt: Date.now(),
      pool: pool === 'the same pool' ? POOL : 'node-agent',
      address: 'nowhere',
    };
    const key = `${FLEET_REGISTRY_PREFIX}${entry.id}`;
    keyValue.swap({key, expectedVersion: 0, value: JSON.stringify(entry)});
  },
);
