import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetEvent, FleetEventKind} from '../../src/stand_ins/fleet';
import {MachineState, TaskEndKind} from '../../src/types/workflow';
import {advance, advanceUntil} from '../support/paused_clock';
import {findBusiestMachine, getSubmitted, getWorld} from './running.steps';
import {POOL, TIMES, createSpec, createStep} from './workflow_world';

let drainingHost = '';
let lastingId = '';
let addedMachine = '';

Given('machine lists are {int} ms old when they arrive', (ageMs: number) => {
  getWorld().fleet.faults.listAgeMs = ageMs;
});

When('a machine is added', () => {
  addedMachine = getWorld().fleet.addMachine(POOL);
});

When('that machine is removed', () => {
  getWorld().fleet.removeMachine(addedMachine);
});

When('machine lists leave out that machine', () => {
  getWorld().fleet.faults.unlisted.add(addedMachine);
});

When('writes of the leader take effect {int} ms late', (lateMs: number) => {
  const faults = getWorld().getLeader()?.faults;
  assert.ok(faults);
  Object.assign(faults, {lateWrites: 1, lateMs});
});

When('writes of the leader take effect at once', () => {
  const faults = getWorld().getLeader()?.faults;
  assert.ok(faults);
  faults.lateWrites = 0;
});

Then('the operator last reads that the wave is completed', () => {
  assert.equal(getWorld().readWaveReports().at(-1), '1 completed');
});

When(
  'the first upkeep has begun and machine lists leave out its machine',
  async () => {
    await advanceUntil(() => listUpkeeps().length > 0, 10_000);
    const [{task}] = listUpkeeps();
    getWorld().fleet.faults.unlisted.add(task.split(' ')[1]);
  },
);

When('machine lists leave out no machine', () => {
  getWorld().fleet.faults.unlisted.clear();
});

When('orders for that machine are answered as impossible', () => {
  getWorld().fleet.faults.denied.add(addedMachine);
});

When('orders for that machine are carried out again', () => {
  getWorld().fleet.faults.denied.clear();
});

When(
  'a wave over that machine is declared with a duration of {int} s',
  (seconds: number) => {
    getWorld().declareWave({
      number: 1,
      machines: [addedMachine],
      durationMs: seconds * 1_000,
      limit: 1,
    });
  },
);

Then('that machine had its upkeep before the wave was completed', () => {
  const upkeep = `${MachineState.Maintenance} ${addedMachine}`;
  assert.ok(listUpkeeps().some(({task}) => task === upkeep));
});

When(
  'a workflow of {int} lasting tasks is submitted, at most {int} tasks per host',
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

When('the host with the most runs crashes and no longer answers', () => {
  getWorld().fleet.crash(findBusiestMachine(), true);
});

When('the host with the most runs announces that it is draining', () => {
  const {fleet} = getWorld();
  const machine = findBusiestMachine();
  drainingHost = fleet.getHost(machine)?.host.id ?? '';
  fleet.announceDraining(machine);
});

Then('nothing runs on the draining host', () => {
  assert.deepEqual(getWorld().fleet.hosts.get(drainingHost)?.listRuns(), []);
});

Then(
  'all lasting tasks are running within {int} s',
  async (seconds: number) => {
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
  },
);

When(
  'a wave over all machines is declared with a duration of {int} s and at most {int} machines down',
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
      kind === FleetEventKind.Order &&
      task.startsWith(MachineState.Maintenance),
  );
}

Then(
  'at most {int} machines were down for the wave at any time',
  (limit: number) => {
    const upkeeps = listUpkeeps();
    for (const {at} of upkeeps) {
      const down = upkeeps.filter(
        other => other.at <= at && at < other.at + TIMES.upkeepMs,
      );
      assert.ok(down.length <= limit, `${down.length} at ${at}`);
    }
  },
);

Then('every machine was serviced exactly once', () => {
  const machines = listUpkeeps().map(({task}) => task.split(' ')[1]);
  const expected = [...getWorld().fleet.machines.keys()].sort();
  assert.deepEqual([...machines].sort(), expected);
});

Then(
  'at most {int} lasting task was interrupted by orders at any time',
  (limit: number) => {
    const interruptedTasks = new Set<string>();
    let maxInterrupted = 0;
    for (const {kind, task, how} of getWorld().fleet.events) {
      if (!task.startsWith(lastingId)) continue;
      const stoppedByOrder =
        kind === FleetEventKind.Lost ||
        (kind === FleetEventKind.End && how === TaskEndKind.Stopped);
      if (stoppedByOrder) interruptedTasks.add(task);
      if (kind === FleetEventKind.Start) interruptedTasks.delete(task);
      maxInterrupted = Math.max(maxInterrupted, interruptedTasks.size);
    }
    assert.ok(
      maxInterrupted > 0 && maxInterrupted <= limit,
      String(maxInterrupted),
    );
  },
);

let pausedId = '';

When(
  'the leader pauses for {int} ms after it has recorded an order for a machine',
  (ms: number) => {
    const leader = getWorld().getLeader();
    assert.ok(leader);
    leader.pauseAfterRecordMs = ms;
    pausedId = leader.id;
  },
);

Then('the paused leader has sent no order', () => {
  const {events} = getWorld().fleet;
  const orders = events.filter(({kind}) => kind === FleetEventKind.Order);
  assert.ok(orders.length > 0);
  assert.ok(orders.every(({holder = ''}) => !holder.startsWith(pausedId)));
});

Then('spare machines have joined the pool', () => {
  const moves = getWorld().fleet.events.filter(
    ({kind, task}) =>
      kind === FleetEventKind.Order && task.startsWith(MachineState.Moving),
  );
  assert.ok(moves.length > 0);
});

Then('at most {int} machines are in the pool', (limit: number) => {
  const machines = [...getWorld().fleet.machines.values()];
  const used = machines.filter(machine => machine.pool === POOL);
  assert.ok(used.length <= limit, String(used.length));
});

Then('no run was lost with its host', () => {
  const lostRuns = getWorld().fleet.events.filter(
    ({kind}) => kind === FleetEventKind.Lost,
  );
  assert.deepEqual(lostRuns, []);
});

Then('no start order was sent to an ended host incarnation', () => {
  assert.equal(getWorld().fleet.countStartsOnEndedHosts(), 0);
});
