import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {findQueue} from '../../src/actors/workflows';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {TaskEndKind, WorkflowState} from '../../src/types/workflow';
import {advance, advanceUntil, settle} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {
  ADVISED_QUEUE,
  ANYBODY,
  OTHER_POOL,
  POOL,
  QUEUE,
  createSpec,
  createStep,
} from './workflow_world';

/** Interval in ms between two reads of the state from the entry hosts. */
const POLL_INTERVAL_MS = 20;

When(
  '{int} hosts with the label {string} and {int} hosts of another pool join',
  async (labelled: number, label: string, others: number) => {
    const {fleet} = getWorld();
    for (let index = 0; index < labelled; index += 1) {
      fleet.addMachine(POOL, false, [label]);
    }
    for (let index = 0; index < others; index += 1) {
      fleet.addMachine(OTHER_POOL, false, [label]);
    }
    await advance(1_000);
  },
);

When(
  '{int} workflows of {int} tasks that require the label {string} are submitted, at most {int} tasks per host',
  async (
    count: number,
    taskCount: number,
    label: string,
    perHostLimit: number,
  ) => {
    const steps = [createStep({taskCount, label, perHostLimit})];
    const world = getWorld();
    for (let index = 0; index < count; index += 1) {
      getSubmitted().push(await world.submit(world.members[1], {steps}));
    }
  },
);

When('hosts do not check their capacity', () => {
  for (const host of getWorld().fleet.hosts.values()) {
    host.faults.ignoresCapacity = true;
  }
});

When(
  '{int} gangs of {int} tasks of {int} ms are submitted, at most {int} tasks per host',
  async (
    count: number,
    taskCount: number,
    workMs: number,
    perHostLimit: number,
  ) => {
    const world = getWorld();
    for (let index = 0; index < count; index += 1) {
      const submitted = await world.submit(world.members[1], {
        spec: createSpec({workMs, gangSize: taskCount}),
        steps: [
          createStep({taskCount, perHostLimit, gang: true, estimateMs: workMs}),
        ],
      });
      getSubmitted().push(submitted);
    }
  },
);

When('{int} of 100 host answers to orders are lost', (percent: number) => {
  getWorld().fleet.faults.lostAnswers = percent / 100;
});

When(
  'the operator writes configuration version {int} without the advised queue',
  (version: number) => getWorld().configure(version, [QUEUE]),
);

When(
  "the operator's configuration is reset to version {int}",
  (version: number) => getWorld().configure(version, [QUEUE, ADVISED_QUEUE]),
);

Then(
  'every entry host uses configuration version {int} within {int} s',
  async (version: number, seconds: number) => {
    const {members} = getWorld();
    await advanceUntil(
      () =>
        members.every(
          ({entry}) => entry.getConfiguration()?.version === version,
        ),
      seconds * 1_000,
    );
  },
);

Then('the advised queue is unknown to every entry host', () => {
  const {authority, prefix} = ADVISED_QUEUE;
  for (const {entry} of getWorld().members) {
    const configuration = entry.getConfiguration();
    assert.ok(configuration);
    assert.equal(findQueue(configuration, authority, prefix), undefined);
  }
});

Then(
  'no entry host reports it as completed before its last task is done',
  async () => {
    const {members, fleet, workflows} = getWorld();
    const [{id}] = getSubmitted();
    const expected = workflows.get(id)?.steps[0].taskCount;
    const live = members.filter(member => member.alive);
    let complete = 0;
    while (complete < live.length) {
      complete = 0;
      for (const {entry} of live) {
        const state = await settle(entry.intake.readState(QUEUE, id, ANYBODY));
        if (state.unwrapOr(undefined) !== WorkflowState.Completed) continue;
        complete += 1;
        const done = fleet.events.filter(
          ({kind, how}) =>
            kind === FleetEventKind.End && how === TaskEndKind.Done,
        );
        assert.equal(done.length, expected);
      }
      await advance(POLL_INTERVAL_MS);
    }
  },
);
