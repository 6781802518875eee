import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {LEADER_KEY, SubmitOutcome} from '../../src/actors/workflows';
import {FLEET_REGISTRY_PREFIX, FleetEventKind} from '../../src/stand_ins/fleet';
import {advance, advanceUntil} from '../support/paused_clock';
import {
  QUEUE,
  Submitted,
  TestMember,
  WorkflowWorld,
  countStarts,
  createSpec,
  createStep,
  createWorkflowWorld,
} from './workflow_world';

let world: WorkflowWorld | undefined;
let submitted: Submitted[] = [];
let cancelled: string[] = [];
let firstLeader: TestMember | undefined;

After(() => {
  world?.dispose();
  world = undefined;
});

/** Returns the deployment of the current scenario. */
export function getWorld(): WorkflowWorld {
  assert.ok(world);
  return world;
}

/** Returns the workflows that the current scenario has submitted. */
export function getSubmitted(): Submitted[] {
  return submitted;
}

function findLiveMember(): TestMember {
  const member = getWorld().members.find(each => each.alive);
  assert.ok(member);
  return member;
}

async function create(
  members: number,
  hosts: number,
  spare: number,
): Promise<void> {
  submitted = [];
  cancelled = [];
  world = await createWorkflowWorld(members, hosts, spare);
}

Given(
  '{int} entry hosts and {int} hosts for workflows',
  (members: number, hosts: number) => create(members, hosts, 0),
);

Given(
  '{int} entry hosts, {int} hosts for workflows and {int} spare machines',
  create,
);

When(
  'a workflow of {int} tasks followed by {int} tasks is submitted',
  async (first: number, second: number) => {
    const steps = [
      createStep({taskCount: first}),
      createStep({taskCount: second, after: [0]}),
    ];
    submitted.push(await getWorld().submit(findLiveMember(), {steps}));
  },
);

When(
  'a workflow of {int} tasks of {int} ms is submitted',
  async (taskCount: number, workMs: number) => {
    submitted.push(
      await getWorld().submit(findLiveMember(), {
        spec: createSpec({workMs}),
        steps: [createStep({taskCount, estimateMs: workMs})],
      }),
    );
  },
);

When(
  '{int} workflows of {int} tasks are submitted',
  async (count: number, taskCount: number) => {
    for (let index = 0; index < count; index += 1) {
      const steps = [createStep({taskCount})];
      submitted.push(await getWorld().submit(findLiveMember(), {steps}));
    }
  },
);

When(
  '{int} workflows of {int} tasks of {int} ms are submitted',
  async (count: number, taskCount: number, workMs: number) => {
    const steps = [createStep({taskCount, estimateMs: workMs})];
    const spec = createSpec({workMs});
    for (let index = 0; index < count; index += 1) {
      submitted.push(await getWorld().submit(findLiveMember(), {spec, steps}));
    }
  },
);

When(
  'a workflow whose tasks fail {int} times is submitted',
  async (failures: number) => {
    const spec = createSpec({failures});
    submitted.push(await getWorld().submit(findLiveMember(), {spec}));
  },
);

When(
  '{int} workflows of {int} tasks followed by {int} tasks are submitted',
  async (count: number, first: number, second: number) => {
    const steps = [
      createStep({taskCount: first}),
      createStep({taskCount: second, after: [0]}),
    ];
    for (let index = 0; index < count; index += 1) {
      submitted.push(await getWorld().submit(findLiveMember(), {steps}));
    }
  },
);

When('{int} of 100 hold calls to hosts are not answered', (percent: number) => {
  getWorld().fleet.faults.lostHolds = percent / 100;
});

When('{int} s pass', (seconds: number) => advance(seconds * 1_000));

When('{int} ms pass', (ms: number) => advance(ms));

When('the leader is killed', () => {
  const leader = getWorld().getLeader();
  assert.ok(leader);
  getWorld().kill(leader);
});

When('every entry host is killed', () => {
  for (const member of getWorld().members) getWorld().kill(member);
});

When('{int} new entry hosts start', (count: number) => {
  for (let index = 0; index < count; index += 1) getWorld().addMember();
});

/** Returns the id of the machine whose host has the most runs. */
export function findBusiestMachine(): string {
  const {fleet} = getWorld();
  const count = (machine: string) =>
    fleet.getHost(machine)?.listRuns().length ?? 0;
  return [...fleet.machines.keys()].sort((a, b) => count(b) - count(a))[0];
}

When('the host with the most runs stops answering but keeps running', () => {
  const host = getWorld().fleet.getHost(findBusiestMachine());
  assert.ok(host);
  getWorld().fleet.faults.silent.add(host.host.id);
});

When('the host with the most runs restarts', () => {
  const machine = findBusiestMachine();
  getWorld().fleet.crash(machine, false);
  getWorld().fleet.boot(machine);
});

When('every run on one host fails', () => {
  const host = getWorld().fleet.getHost(findBusiestMachine());
  assert.ok(host);
  host.faults.failing = true;
});

When('the store is unreachable from every entry host', () => {
  for (const member of getWorld().members) member.faults.down = true;
});

When('the store is reachable again', () => {
  for (const member of getWorld().members) {
    if (member.alive) member.faults.down = false;
  }
});

When("the store's answers to writes are lost", () => {
  for (const member of getWorld().members) member.faults.lostAnswers = 1;
});

When('{int} of 100 store answers are lost', (percent: number) => {
  firstLeader = getWorld().getLeader();
  for (const member of getWorld().members) {
    member.faults.lostAnswers = percent / 100;
  }
});

When(
  '{int} of 100 store answers are lost, which is detected after {int} ms',
  (percent: number, lossMs: number) => {
    for (const {faults} of getWorld().members) {
      faults.lostAnswers = percent / 100;
      faults.lossMs = lossMs;
    }
  },
);

Then(
  'at least nine of ten tasks started within {int} ms of their submission',
  (limitMs: number) => {
    const {fleet, workflows} = getWorld();
    const offset = Date.now() - performance.now();
    const delays = fleet.events
      .filter(({kind}) => kind === FleetEventKind.Start)
      .map(({task, at}) => {
        const {acceptedAt = 0} = workflows.get(task.split('.')[0]) ?? {};
        return at + offset - acceptedAt;
      })
      .sort((a, b) => a - b);
    const delayMs = delays[Math.floor(delays.length * 0.9)];
    assert.ok(delayMs <= limitMs, `${delayMs} ms`);
  },
);

Then(
  'at least nine of ten were accepted, and the others have an unknown outcome',
  () => {
    const count = (wanted: SubmitOutcome) =>
      submitted.filter(({outcome}) => outcome === wanted).length;
    const accepted = count(SubmitOutcome.Accepted);
    assert.ok(accepted >= submitted.length * 0.9, `${accepted}`);
    assert.equal(accepted + count(SubmitOutcome.Unknown), submitted.length);
  },
);

Then('the leader has not changed', () => {
  assert.ok(firstLeader);
  assert.equal(getWorld().getLeader(), firstLeader);
});

When("the store's answers arrive again", () => {
  for (const member of getWorld().members) member.faults.lostAnswers = 0;
});

When('the leader is cut off from the store', () => {
  firstLeader = getWorld().getLeader();
  assert.ok(firstLeader);
  firstLeader.faults.down = true;
});

Then(
  'another entry host is the leader within {int} s',
  async (seconds: number) => {
    await advanceUntil(() => {
      const leader = getWorld().getLeader();
      return leader !== undefined && leader !== firstLeader;
    }, seconds * 1_000);
  },
);

When(
  '{int} of 100 orders to hosts are carried out {int} ms late without an answer',
  (percent: number, afterMs: number) => {
    getWorld().fleet.faults.delayedOrders = {share: percent / 100, afterMs};
  },
);

When(
  '{int} of the workflows is/are cancelled after {int} ms',
  async (count: number, ms: number) => {
    await advance(ms);
    for (const {id} of submitted.slice(0, count)) {
      await getWorld().cancel(findLiveMember(), id);
      cancelled.push(id);
    }
  },
);

Then(
  'a submission has the outcome {string} and never runs',
  async (outcome: SubmitOutcome) => {
    const refused = await getWorld().submit(findLiveMember(), {});
    assert.equal(refused.outcome, outcome);
    getWorld().workflows.delete(refused.id);
  },
);

Then(
  'a submission has the outcome {string}',
  async (outcome: SubmitOutcome) => {
    const answer = await getWorld().submit(findLiveMember(), {});
    assert.equal(answer.outcome, outcome);
    submitted.push(answer);
  },
);

When('the same submission is repeated at another entry host', async () => {
  const [{id}] = submitted;
  const again = await getWorld().submit(getWorld().members[2], {}, id);
  assert.equal(again.outcome, SubmitOutcome.Accepted);
});

Then(
  'it is {string} within {int} s',
  async (state: string, seconds: number) => {
    const {id} = submitted[submitted.length - 1];
    await advanceUntil(
      async () => (await getWorld().readState(id)) === state,
      seconds * 1_000,
    );
  },
);

Then(
  'all are {string} within {int} s',
  async (state: string, seconds: number) => {
    await advanceUntil(async () => {
      for (const {id} of submitted) {
        if ((await getWorld().readState(id)) !== state) return false;
      }
      return true;
    }, seconds * 1_000);
  },
);

Then(
  'the workflows that were not cancelled are {string}',
  async (state: string) => {
    for (const {id} of submitted) {
      const expected = cancelled.includes(id) ? 'cancelled' : state;
      assert.equal(await getWorld().readState(id), expected, id);
    }
  },
);

Then('no task of a cancelled workflow runs', () => {
  for (const host of getWorld().fleet.hosts.values()) {
    for (const run of host.listRuns()) {
      assert.ok(!cancelled.includes(run.split('.')[0]), run);
    }
  }
});

Then('every task has started exactly once', () => {
  const expected = submitted.reduce((sum, {id}) => {
    const steps = getWorld().workflows.get(id)?.steps ?? [];
    return steps.reduce((total, step) => total + step.taskCount, sum);
  }, 0);
  assert.equal(countStarts(getWorld()), expected);
});

Then('the run history has no violations', () => {
  assert.deepEqual(getWorld().check(), []);
});

When(
  "the registry and the leader's lease are lost, and hosts register again {int} s later",
  (seconds: number) => {
    const {keyValue} = getWorld();
    const lost = [
      ...keyValue.list(FLEET_REGISTRY_PREFIX).entries,
      ...keyValue.list(LEADER_KEY).entries,
    ];
    for (const {key, version} of lost) {
      keyValue.swap({key, expectedVersion: version, value: undefined});
    }
    setTimeout(() => {
      for (const {key, value} of lost) {
        if (key === LEADER_KEY) continue;
        keyValue.swap({key, expectedVersion: 0, value});
      }
    }, seconds * 1_000);
  },
);

let dueTimes: number[] = [];

When(
  'a workflow of {int} tasks of {int} ms is submitted that is due {int} times, every {int} ms, starting in {int} ms',
  async (
    taskCount: number,
    workMs: number,
    occurrences: number,
    intervalMs: number,
    firstMs: number,
  ) => {
    const firstAt = Date.now() + firstMs;
    const firstDueMs = performance.now() + firstMs;
    dueTimes = Array.from(
      {length: occurrences},
      (_, index) => firstDueMs + index * intervalMs,
    );
    submitted.push(
      await getWorld().submit(findLiveMember(), {
        spec: createSpec({workMs}),
        steps: [createStep({taskCount, estimateMs: workMs})],
        occurrences,
        firstAt,
        intervalMs,
      }),
    );
  },
);

Then('nothing has started', () => assert.equal(countStarts(getWorld()), 0));

Then(
  'every occurrence started at most {int} ms after it was due and not earlier',
  (maxDelayMs: number) => {
    const starts = getWorld().fleet.events.filter(
      ({kind}) => kind === FleetEventKind.Start,
    );
    assert.equal(starts.length, 12);
    for (const {task, at} of starts) {
      const delay = at - dueTimes[Number(task.split('.')[1])];
      assert.ok(delay >= 0 && delay <= maxDelayMs, `${task} ${delay}`);
    }
  },
);

When('every call to the store takes {int} ms', (ms: number) => {
  for (const member of getWorld().members) member.faults.slowMs = ms;
});

When(
  '{int} workflows are submitted, one every {int} ms',
  async (count: number, ms: number) => {
    const pending: Promise<Submitted>[] = [];
    for (let index = 0; index < count; index += 1) {
      pending.push(getWorld().submit(findLiveMember(), {}));
      await advance(ms);
    }
    await advance(5_000);
    submitted.push(...(await Promise.all(pending)));
  },
);

Then('every task has started at most once', () => {
  const starts = getWorld().fleet.events.filter(
    ({kind}) => kind === FleetEventKind.Start,
  );
  assert.equal(new Set(starts.map(({task}) => task)).size, starts.length);
});

Then('the record of the first workflow has been removed', () => {
  const [{id}] = submitted;
  assert.equal(getWorld().keyValue.get(`work/${id}`), undefined);
});

When('every host stops answering but keeps running', () => {
  const {faults, hosts} = getWorld().fleet;
  for (const id of hosts.keys()) faults.silent.add(id);
});

When('every host answers again', () => {
  getWorld().fleet.faults.silent.clear();
});

Then(
  /^every entry host says that (\d+) workflows? waits?$/,
  async (expected: string) => {
    await advance(500);
    for (const {entry} of getWorld().members) {
      assert.equal(entry.intake.countWaiting(QUEUE.name), Number(expected));
    }
  },
);
