import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {FleetEvent, FleetEventKind} from '../../src/stand_ins/fleet';
import {MachineState, TaskEndKind} from '../../src/types/workflow';
import {advance, advanceUntil} from '../support/paused_clock';
import {findBusiestMachine, getSubmitted, getWorld} from './running.steps';
import {POOL, TIMES, createSpec, createStep} from './workflow_world';

let leavingHost = '';
let lastingId = '';

When(
  'a lasting workflow of {int} tasks is submitted, at most {int} on a host',
  async (taskCount: number, perHostLimit: number) => {
    const world = getWorld();
    const submitted = await world.submit(world.members[0], {
      spec: createSpec({lasting: true}),
      steps: [createStep({taskCount, perHostLimit, lasting: true, mayMiss: 1})],
    });
    lastingId = submitted.id;
    getSubmitted().push(submitted);
  },
);

When('the host with the most runs dies without a word', () => {
  getWorld().fleet.crash(findBusiestMachine(), true);
});

When('the host with the most runs announces that it leaves', () => {
  const {fleet} = getWorld();
  const machine = findBusiestMachine();
  leavingHost = fleet.getHost(machine)?.host.id ?? '';
  fleet.announceLeave(machine);
});

Then('nothing runs on the host that leaves', () => {
  assert.deepEqual(getWorld().fleet.hosts.get(leavingHost)?.listRuns(), []);
});

Then('all its tasks are at work within {int} s', async (seconds: number) => {
  const world = getWorld();
  const expected = world.workflows.get(lastingId)?.steps[0].taskCount;
  await advanceUntil(() => {
    let count = 0;
    for (const host of world.fleet.hosts.values()) {
      const own = host.listRuns().filter(run => run.startsWith(lastingId));
      count += own.length;
    }
    return count === expected;
  }, seconds * 1_000);
});

When(
  'a wave over all machines is declared for {int} s with at most {int} down',
  async (seconds: number, limit: number) => {
    const world = getWorld();
    await advance(500);
    world.declareWave({
      number: 1,
      machines: [...world.fleet.machines.keys()],
      durationMs: seconds * 1_000,
      limit,
    });
  },
);

Then('the wave is completed within {int} s', async (seconds: number) => {
  await advanceUntil(
    () => getWorld().readWaveReports().includes('1 completed'),
    seconds * 1_000,
  );
});

function listUpkeeps(): readonly FleetEvent[] {
  return getWorld().fleet.events.filter(
    ({kind, task}) =>
      kind === FleetEventKind.Order && task.startsWith(MachineState.Upkeep),
  );
}

Then('never more than {int} machines were down for it', (limit: number) => {
  const upkeeps = listUpkeeps();
  for (const {at} of upkeeps) {
    const down = upkeeps.filter(
      other => other.at <= at && at < other.at + TIMES.upkeepMs,
    );
    assert.ok(down.length <= limit, `${down.length} at ${at}`);
  }
});

Then('every machine had its upkeep once', () => {
  const machines = listUpkeeps().map(({task}) => task.split(' ')[1]);
  const expected = [...getWorld().fleet.machines.keys()].sort();
  assert.deepEqual([...machines].sort(), expected);
});

Then(
  'never more than {int} lasting task was away through orders',
  (limit: number) => {
    const away = new Set<string>();
    let most = 0;
    for (const {kind, task, how} of getWorld().fleet.events) {
      if (!task.startsWith(lastingId)) continue;
      const ordered =
        kind === FleetEventKind.Gone ||
        (kind === FleetEventKind.End && how === TaskEndKind.Stopped);
      if (ordered) away.add(task);
      if (kind === FleetEventKind.Start) away.delete(task);
      most = Math.max(most, away.size);
    }
    assert.ok(most > 0 && most <= limit, String(most));
  },
);

Then('machines of the spare pool have joined', () => {
  const moves = getWorld().fleet.events.filter(
    ({kind, task}) =>
      kind === FleetEventKind.Order && task.startsWith(MachineState.Moving),
  );
  assert.ok(moves.length > 0);
});

Then('at most {int} machines are in use', (limit: number) => {
  const machines = [...getWorld().fleet.machines.values()];
  const used = machines.filter(machine => machine.pool === POOL);
  assert.ok(used.length <= limit, String(used.length));
});

Then('no run was ended by a move', () => {
  const gone = getWorld().fleet.events.filter(
    ({kind}) => kind === FleetEventKind.Gone,
  );
  assert.deepEqual(gone, []);
});

Then('no start was ordered on a life that had ended', () => {
  assert.equal(getWorld().fleet.countStartsOnEndedHosts(), 0);
});
