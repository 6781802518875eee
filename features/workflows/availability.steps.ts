import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MACHINE_ORDERS_KEY} from '../../src/actors/workflows';
import {Transaction} from '../../src/ports';
import {HostAddress, RunOrder} from '../../src/ports/hosts';
import {advance, advanceUntil, seedRandom} from '../support/paused_clock';
import {AvailabilityReport, playAvailability} from './availability_histories';
import {getSubmitted, getWorld} from './running.steps';
import {TestMember, createSpec, createStep} from './workflow_world';

/** Time in ms from the start of a task until it serves. */
const STARTUP_MS = 1_500;

let serviceId = '';
let taskCount = 0;
let leavingMachine = '';
let leavingHost = '';
let reports: AvailabilityReport[] = [];

Given(
  'a service of {int} tasks, one a host, of which {int} may be away',
  async (count: number, mayMiss: number) => {
    const world = getWorld();
    taskCount = count;
    const submitted = await world.submit(world.members[0], {
      spec: createSpec({lasting: true, startupMs: STARTUP_MS}),
      steps: [createStep({taskCount, perHostLimit: 1, lasting: true, mayMiss})],
    });
    serviceId = submitted.id;
    getSubmitted().push(submitted);
  },
);

/** Returns the machines on which tasks of the service run. */
function listBusyMachines(): readonly string[] {
  const {fleet} = getWorld();
  return [...fleet.machines.keys()].filter(machine =>
    fleet
      .getHost(machine)
      ?.listRuns()
      .some(run => run.startsWith(serviceId)),
  );
}

When(
  'a wave over the host of one of its tasks is declared, which takes {int} ms to stop it',
  async (stopMs: number) => {
    const world = getWorld();
    await advance(3_000);
    const [machine, other] = listBusyMachines();
    leavingMachine = other;
    const host = world.fleet.getHost(machine);
    assert.ok(host);
    host.faults.stopMs = stopMs;
    world.declareWave({
      number: 1,
      machines: [machine],
      durationMs: 30_000,
      limit: 1,
    });
  },
);

When(
  'the host of another one, which takes {int} ms, announces that it leaves as soon as the stop is ordered',
  async (stopMs: number) => {
    const {fleet, members} = getWorld();
    const host = fleet.getHost(leavingMachine);
    assert.ok(host);
    leavingHost = host.host.id;
    host.faults.stopMs = stopMs;
    let isOrdered = false;
    for (const member of members) {
      onCallOf(member, call => {
        if (call !== 'stop' || isOrdered) return;
        isOrdered = true;
        fleet.announceDraining(leavingMachine);
      });
    }
    await advanceUntil(() => isOrdered, 10_000);
  },
);

When(
  'the leader is killed as it orders that stop, which arrives just before the first call of the next leader',
  () => {
    const world = getWorld();
    let pending: {hostId: string; order: RunOrder} | undefined;
    let hasArrived = false;
    for (const member of world.members) {
      onCallOf(member, (call, parameters) => {
        if (call !== 'stop' && call !== 'hold') return;
        const [{id}, order] = parameters as [HostAddress, RunOrder];
        if (call === 'stop' && !pending) {
          pending = {hostId: id, order};
          world.kill(member);
        }
        const isFirstHold = call === 'hold' && member.alive && !hasArrived;
        if (!isFirstHold || id !== pending?.hostId) return;
        hasArrived = true;
        world.fleet.hosts.get(id)?.stop(pending.order);
      });
    }
  },
);

When('the orders to stop it are lost for {int} ms', (ms: number) => {
  const {fleet, members} = getWorld();
  let isLost = false;
  for (const member of members) {
    onCallOf(member, (call, [host]) => {
      if (call !== 'stop' || isLost) return;
      isLost = true;
      fleet.faults.silent.add((host as HostAddress).id);
      setTimeout(() => fleet.faults.silent.clear(), ms);
    });
  }
});

/** Adds to what is done at each call of an entry host. */
function onCallOf(
  {callFaults}: TestMember,
  handle: (call: string, parameters: readonly unknown[]) => void,
): void {
  const {onCall} = callFaults;
  callFaults.onCall = (call, parameters) => {
    onCall(call, parameters);
    handle(call, parameters);
  };
}

When(
  'a wave over an empty machine is declared, on which a host starts while the order is recorded for {int} ms',
  async (recordMs: number) => {
    const {fleet, members, declareWave} = getWorld();
    const [machine] = fleet.machines.keys();
    let records = 0;
    for (const member of members) {
      onCallOf(member, (call, [transaction]) => {
        const {puts = []} = (transaction ?? {}) as Partial<Transaction>;
        const isRecord = puts.some(({key}) => key === MACHINE_ORDERS_KEY);
        if (call !== 'transact' || !isRecord) return;
        records += 1;
        // The second call of the hook is that after the answer.
        if (records !== 2) return;
        fleet.crash(machine, false);
        fleet.boot(machine);
        member.callFaults.answerDelayMs = recordMs;
        queueMicrotask(() => (member.callFaults.answerDelayMs = 0));
      });
    }
    const machines = [machine];
    declareWave({number: 1, machines, durationMs: 30_000, limit: 1});
    await advanceUntil(() => records > 1, 10_000, 1);
  },
);

Then('nothing runs on the leaving host', () => {
  assert.deepEqual(getWorld().fleet.hosts.get(leavingHost)?.listRuns(), []);
});

Then('all tasks of the service are running', () => {
  assert.equal(listBusyMachines().length, taskCount);
});

When(
  /^(\d+) random histories of (\d+) waves and losses are played for each of the seeds (.*)$/,
  {timeout: 120_000},
  async (count: string, length: string, seeds: string) => {
    reports = [];
    for (const seed of seeds.split(', ').map(Number)) {
      seedRandom(seed);
      reports.push(await playAvailability(Number(count), Number(length), seed));
    }
  },
);

Then('they have stops, leaving hosts, upkeeps and takeovers', () => {
  for (const kind of ['stops', 'leaving', 'upkeeps', 'takeovers'] as const) {
    const total = reports.reduce((sum, {counts}) => sum + counts[kind], 0);
    assert.ok(total > 0, kind);
  }
});

Then('no order has exceeded the limit of a step', () => {
  assert.deepEqual(
    reports.flatMap(({findings}) => findings),
    [],
  );
});
