import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  LEADER_KEY,
  LEDGER_KEY,
  MACHINE_ORDERS_KEY,
  SubmitOutcome,
  TermErrors,
  createInvalidEntries,
  createTermErrors,
  createTermFailures,
  getProgressKey,
  getStateKey,
  getWaveKey,
  getWorkKey,
} from '../../src/actors/workflows';
import {HoldReport, HoldRequest} from '../../src/ports/hosts';
import {LogLevel, createLog, createUnexpectedErrors} from '../../src/telemetry';
import {MachineState, TaskEndKind} from '../../src/types/workflow';
import {advance, advanceUntil} from '../support/paused_clock';
import {getSubmitted, getWorld} from './running.steps';
import {
  POOL,
  QUEUE,
  countStarts,
  createSpec,
  createStep,
} from './workflow_world';

/** Maximum time in ms without a leader after an error. */
const ELECTION_MS = 3_000;

function getLeaderVersion(): number {
  return getWorld().keyValue.get(LEADER_KEY)?.version ?? 0;
}

function put(key: string, value: string): void {
  const {keyValue} = getWorld();
  const expectedVersion = keyValue.get(key)?.version ?? 0;
  keyValue.swap({key, expectedVersion, value});
}

let termErrors: TermErrors;
let endedTerms = 0;
let firstVersion = 0;
let leaderVersions = new Set<number>();
/** Longest processor time in ms of a step of the paused clock. */
let longestMs = 0;

When(
  'a workflow whose second step names the first one {int} times is submitted',
  async (count: number) => {
    const steps = [
      createStep(),
      createStep({after: new Array<number>(count).fill(0)}),
    ];
    const [member] = getWorld().members;
    getSubmitted().push(await getWorld().submit(member, {steps}));
  },
);

When('the reports of one host cannot be handled', () => {
  firstVersion = getLeaderVersion();
  const [host] = getWorld().fleet.hosts.values();
  Object.assign(host, {hold: async () => null});
});

When(
  'an unusable machine is listed for {int} ms',
  async (durationMs: number) => {
    firstVersion = getLeaderVersion();
    leaderVersions = new Set();
    const {machines} = getWorld().fleet;
    const unusable = {
      id: 'unusable',
      pool: POOL,
      state: MachineState.Up,
      get hostId(): string {
        throw new Error('unusable machine');
      },
    };
    (machines as Map<string, unknown>).set(unusable.id, unusable);
    for (let ms = 0; ms < durationMs; ms += 100) {
      await advance(100);
      leaderVersions.add(getLeaderVersion());
    }
    (machines as Map<string, unknown>).delete(unusable.id);
  },
);

When('the leader has an error that no call handles', () => {
  firstVersion = getLeaderVersion();
  getWorld().getLeader()?.entry.handleUnexpectedError(new Error('unexpected'));
});

When(
  'every entry host but the leader has had an error that no call handles',
  () => {
    const leader = getWorld().getLeader();
    for (const member of getWorld().members) {
      if (member === leader) continue;
      member.entry.handleUnexpectedError(new Error('unexpected'));
    }
  },
);

When('the store holds values of earlier leaders that cannot be read', () => {
  const id = '00000000000000e1';
  const keys = [
    getStateKey(id),
    getProgressKey(id),
    getWaveKey(1),
    MACHINE_ORDERS_KEY,
    LEDGER_KEY,
  ];
  for (const key of keys) put(key, '{"');
  getWorld().declareWave({number: 1, machines: [], durationMs: 1, limit: 1});
});

When('the store holds workflows that cannot be handled', async () => {
  firstVersion = getLeaderVersion();
  const steps = [[null], [{}], [{...createStep(), after: [{}], image: null}]];
  steps.forEach((list, index) => {
    const id = `00000000000000d${index}`;
    const workflow = {
      id,
      queue: QUEUE.name,
      pool: POOL,
      spec: createSpec(),
      steps: list,
      occurrences: 1,
      firstAt: 0,
      intervalMs: 0,
      acceptedAt: Date.now(),
    };
    put(getWorkKey(id), JSON.stringify(workflow));
  });
  await advance(500);
});

When(
  '{int} of 100 calls of the entry hosts throw for {int} s, while {int} workflows of {int} tasks are submitted',
  async (
    percent: number,
    seconds: number,
    count: number,
    taskCount: number,
  ) => {
    const world = getWorld();
    const setShare = (share: number) => {
      for (const {callFaults} of world.members) {
        callFaults.onCall = call => {
          if (Math.random() < share) throw new Error(`${call} failed`);
        };
      }
    };
    setShare(percent / 100);
    for (let index = 0; index < count; index += 1) {
      const member = world.members[index % world.members.length];
      const steps = [createStep({taskCount})];
      const submitted = await world.submit(member, {steps});
      if (submitted.outcome === SubmitOutcome.Accepted) {
        getSubmitted().push(submitted);
      }
      await advance((seconds * 1_000) / count);
    }
    setShare(0);
    assert.ok(getSubmitted().length > 0);
  },
);

Then('there is a new leader', () =>
  advanceUntil(() => getLeaderVersion() > firstVersion, ELECTION_MS),
);

Then('the first leader still leads', () =>
  assert.equal(getLeaderVersion(), firstVersion),
);

Then('there were at most {int} leaders', (count: number) => {
  leaderVersions.add(getLeaderVersion());
  leaderVersions.delete(0);
  assert.ok(leaderVersions.size <= count, `${leaderVersions.size} leaders`);
});

Then(
  'the entry hosts have reported errors of {string} only',
  (activity: string) => {
    const activities = getWorld().members.flatMap(({errors}) => errors);
    assert.deepEqual([...new Set(activities)], [activity]);
  },
);

When(
  'a workflow of {int} tasks that need more than they declare is submitted',
  async (taskCount: number) => {
    const steps = [createStep({taskCount, cpuMillis: 0, memoryMb: 0})];
    await getWorld().submit(getWorld().members[0], {steps});
  },
);

Then(
  'hosts refuse at most {int} starts a second for {int} s',
  async (limit: number, seconds: number) => {
    let calls = 0;
    for (const {callFaults} of getWorld().members) {
      callFaults.onCall = call => {
        // Called before and after each call.
        if (call === 'start') calls += 0.5;
      };
    }
    const acceptedBefore = countStarts(getWorld());
    await advance(seconds * 1_000);
    const accepted = countStarts(getWorld()) - acceptedBefore;
    const rate = (calls - accepted) / seconds;
    assert.ok(rate <= limit, `${rate} refusals and ${accepted} starts`);
  },
);

/** Changes the reports of some hosts. */
function changeReports(
  count: number,
  change: (report: HoldReport) => HoldReport,
): void {
  const hosts = [...getWorld().fleet.hosts.values()];
  for (const host of hosts.slice(0, count)) {
    const {hold} = host;
    Object.assign(host, {
      hold: async (request: HoldRequest) => change(await hold(request)),
    });
  }
}

When(
  'a workflow of {int} tasks reports checkpoints of {int} characters each',
  async (taskCount: number, length: number) => {
    const world = getWorld();
    changeReports(world.fleet.hosts.size, report => ({
      ...report,
      running: report.running.map(run => ({
        ...run,
        checkpoint: 'c'.repeat(length),
      })),
    }));
    // The runs of one host end early, so that the progress is stored again.
    const [host] = world.fleet.hosts.values();
    host.faults.slowness = 0.1;
    const spec = createSpec({workMs: 8_000});
    const steps = [
      createStep({taskCount, estimateMs: 8_000, checkpoints: true}),
    ];
    getSubmitted().push(await world.submit(world.members[0], {spec, steps}));
    await advance(1_500);
  },
);

When(
  'a report of one host adds {int} ends of unknown runs',
  async (count: number) => {
    changeReports(1, report => {
      if (report.ended.length === 0) return report;
      const {number} = report.ended[report.ended.length - 1];
      const added = Array.from({length: count}, (_, index) => ({
        number: number + (index + 1) / (count + 1),
        task: `unknown ${index}`,
        run: 1,
        kind: TaskEndKind.Done,
        checkpoint: '',
      }));
      return {...report, ended: [...report.ended, ...added]};
    });
    longestMs = 0;
    for (let ms = 0; ms < 1_000; ms += 50) {
      const before = process.hrtime.bigint();
      await advance(50);
      const elapsedMs = Number(process.hrtime.bigint() - before) / 1e6;
      longestMs = Math.max(longestMs, elapsedMs);
    }
  },
);

Then(
  'the leader was busy for less than {int} s at a time',
  (seconds: number) => {
    assert.ok(longestMs < seconds * 1_000, `${longestMs} ms`);
  },
);

Given('the errors of a term', () => {
  endedTerms = 0;
  const log = createLog({member: 'a'}, LogLevel.Info);
  termErrors = createTermErrors(
    createUnexpectedErrors(log, () => {}),
    createInvalidEntries(log),
    createTermFailures(),
    () => (endedTerms += 1),
  );
});

When(
  /^its "(.*)" (can't be done|fails) twice$/,
  (activity: string, verb: string) => {
    const handle = verb === 'fails' ? termErrors.fail : termErrors.end;
    handle(activity, new Error('first'));
    handle(activity, new Error('second'));
  },
);

Then('the term was ended {int} times', (times: number) =>
  assert.equal(endedTerms, times),
);
