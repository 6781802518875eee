import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {FleetEventKind, TaskHostModel} from '../../src/stand_ins/fleet';
import {advance} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {ADVISED_QUEUE, createSpec, createStep} from './workflow_world';

/**
 * Tail latency target of the serving task in ms; next to a filler at full pace
 * its tail latency is twice the target.
 */
const TAIL_TARGET_MS = 100;
/** Interval in ms between two checks of the tail latency. */
const POLL_INTERVAL_MS = 200;

When(
  'a workflow of {int} tasks is submitted to the advised queue',
  async (taskCount: number) => {
    const world = getWorld();
    const draft = {
      spec: createSpec({ticket: true}),
      steps: [createStep({taskCount})],
    };
    const [member] = world.members;
    getSubmitted().push(
      await world.submit(member, draft, undefined, ADVISED_QUEUE),
    );
  },
);

Then('only advised hosts ran its tasks', () => {
  const starts = getWorld().fleet.events.filter(
    ({kind}) => kind === FleetEventKind.Start,
  );
  assert.equal(starts.length, 12);
  for (const {hostId} of starts) {
    assert.equal(Number(hostId.split('-')[1]) % 2, 0);
  }
});

When(
  'a serving task and {int} fillers that disturb it are submitted',
  async (fillers: number) => {
    const world = getWorld();
    const [member] = world.members;
    await world.submit(member, {
      spec: createSpec({lasting: true, tailMs: 2 * TAIL_TARGET_MS}),
      steps: [createStep({lasting: true, tailTargetMs: TAIL_TARGET_MS})],
    });
    await world.submit(member, {
      spec: createSpec({workMs: 600_000, fills: true}),
      steps: [createStep({taskCount: fillers, fills: true})],
    });
  },
);

function getOnlyHost(): TaskHostModel {
  const [host] = [...getWorld().fleet.hosts.values()];
  return host;
}

async function readTail(): Promise<number> {
  const running = getOnlyHost().listRunning();
  assert.equal(running.length, 3);
  return Math.max(...running.map(({load}) => load));
}

When('the fillers run at full pace again', () => {
  getOnlyHost().resetPaces();
});

Then(
  "the serving task's tail latency is within its target for {int} s",
  async (seconds: number) => {
    for (let passed = 0; passed < seconds * 1_000; passed += POLL_INTERVAL_MS) {
      assert.ok((await readTail()) <= TAIL_TARGET_MS);
      await advance(POLL_INTERVAL_MS);
    }
  },
);
