import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {Result} from 'true-myth/result';
import {JobRefusal, ReleaseDecision, Submission} from '../../src/actors/jobs';
import {PoolSlots, Shortage} from '../../src/actors/slots';
import {createEstimates, measureRunTime} from '../../src/decisions/jobs';
import {checkJobHistory} from '../../src/history/jobs';
import {DecisionKind, HostState, Job, JobState} from '../../src/types';
import {advance, advanceUntil, settle} from '../support/paused_clock';
import {JobPool, POOL_NAME, createJobPool} from './job_pool';

let pool: JobPool;
let accepted: {id: string; idempotent: boolean}[] = [];
let answers: Result<Job, JobRefusal>[] = [];
let shortage: Shortage = {slots: 0, durationMs: 0};
let suspects: string[] = [];
let released = new Set<string>();

After(() => {
  pool?.dispose();
});

async function createPool(
  workers: number,
  slots: number,
  retentionMs?: number,
): Promise<void> {
  accepted = [];
  answers = [];
  suspects = [];
  released = new Set();
  shortage = {slots: 0, durationMs: 0};
  pool = createJobPool({workers, slots});
  pool.addLeader({
    retentionMs,
    onSuspect: hostId => void suspects.push(hostId),
  });
  const {slots: poolSlots} = pool.leaders[0];
  (poolSlots as {getShortage: PoolSlots['getShortage']}).getShortage = () =>
    shortage;
  await advance(1_000);
}

Given(
  'a pool of {int} long-work hosts with {int} slots',
  (workers: number, slots: number) => createPool(workers, slots),
);

Given(
  'a pool of {int} long-work hosts with {int} slots that keeps finished jobs for {int} minutes',
  (workers: number, slots: number, minutes: number) =>
    createPool(workers, slots, minutes * 60_000),
);

Given("every answer of the pool's store to a write is lost", () => {
  pool.storeFaults.lostAnswers = 1;
});

Given('the second long-work host fails every task', () => {
  pool.workers[1].faults.failAll = true;
});

async function submit(overrides: Partial<Submission>): Promise<void> {
  const answer = await settle(
    pool.api.submit({
      service: POOL_NAME,
      team: '',
      idempotent: true,
      size: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
      runTimeMs: 1_000,
      dueAt: Date.now() + 3_600_000,
      input: '',
      ...overrides,
    }),
  );
  answers.push(answer);
  if (answer.isErr) return;
  const {id, idempotent} = answer.value;
  if (accepted.some(job => job.id === id)) return;
  accepted.push({id, idempotent});
}

When(
  'a job of {int} slots, {int} processors and {int} accelerator is submitted to the pool',
  (slots: number, processors: number, accelerators: number) =>
    submit({size: {slots, processors, memoryMb: 1, accelerators}}),
);

Then(
  'the job is refused as {string} with findings at {string}',
  (reason: string, places: string) => {
    const [answer] = answers;
    assert.ok(answer.isErr);
    assert.equal(answer.error.reason, reason);
    const found = answer.error.findings?.map(({place}) => place);
    assert.deepEqual(found, places.split(', '));
  },
);

Then("the pool's store holds {int} jobs", (count: number) => {
  assert.equal(pool.readJobs().length, count);
});

When(
  'the same keyed job is submitted to the pool {int} times',
  async (times: number) => {
    for (let i = 0; i < times; i += 1) {
      await submit({idempotencyKey: 'key', input: 'work-ms=5000'});
    }
  },
);

Then("each of the job's submissions was accepted as the same job", () => {
  const ids = answers.map(answer => (answer.isOk ? answer.value.id : 'none'));
  assert.equal(new Set(ids).size, 1);
  assert.notEqual(ids[0], 'none');
});

Then(
  'within {int} second(s) every job of the pool is {string}',
  async (seconds: number, state: string) => {
    await advanceUntil(
      () => pool.readJobs().every(job => job.state === state),
      seconds * 1_000,
    );
  },
);

Then(
  'within {int} seconds {int} jobs of the pool are {string}',
  async (seconds: number, count: number, state: string) => {
    await advanceUntil(
      () => pool.readJobs().filter(job => job.state === state).length === count,
      seconds * 1_000,
    );
  },
);

Then("the pool's job history satisfies all guarantees", () => {
  const history = {...pool.readHistory(accepted), released};
  assert.deepEqual(checkJobHistory(history), []);
});

When('a job that always fails is submitted to the pool', () =>
  submit({input: 'always-fails'}),
);

When('an operator fails the held job', async () => {
  const answer = await settle(
    pool.api.release(POOL_NAME, accepted[0].id, ReleaseDecision.Fail),
  );
  assert.ok(answer.isOk);
});

When('an operator reruns the held job', async () => {
  released.add(accepted[0].id);
  const answer = await settle(
    pool.api.release(POOL_NAME, accepted[0].id, ReleaseDecision.Rerun),
  );
  assert.ok(answer.isOk);
});

When(
  '{int} jobs of {int} ms are submitted to the pool',
  (count: number, workMs: number) => submitMany(count, workMs, true),
);

When(
  '{int} once-only jobs of {int} ms are submitted to the pool',
  (count: number, workMs: number) => submitMany(count, workMs, false),
);

When('a once-only job of {int} ms is submitted to the pool', (workMs: number) =>
  submitMany(1, workMs, false),
);

async function submitMany(
  count: number,
  workMs: number,
  idempotent: boolean,
): Promise<void> {
  const input = `work-ms=${workMs}`;
  const dueAt = Date.now() + (workMs === 20_000 ? 50_000 : 3_600_000);
  await settle(
    Promise.all(
      Array.from({length: count}, () =>
        submitNow({input, idempotent, runTimeMs: workMs, dueAt}),
      ),
    ),
  );
}

/** Submits a job without advancing the clock. */
async function submitNow(overrides: Partial<Submission>): Promise<void> {
  const answer = await pool.api.submit({
    service: POOL_NAME,
    team: '',
    size: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
    runTimeMs: 1_000,
    dueAt: Date.now() + 3_600_000,
    input: '',
    ...overrides,
  });
  assert.ok(answer.isOk);
  accepted.push(answer.value);
}

const UNDERDECLARED_JOB = {
  runTimeMs: 500,
  input: 'work-ms=2000 use-memory-mb=8192',
  size: {slots: 1, processors: 1, memoryMb: 1_024, accelerators: 0},
};

When(
  '{int} jobs that run 4 times as long as declared are submitted to the pool',
  async (count: number) => {
    for (let i = 0; i < count; i += 1) await submitNow(UNDERDECLARED_JOB);
  },
);

Then(
  "the pool's leader expects such a job to take about 4 times what it declares",
  () => {
    const estimates = createEstimates();
    pool.readJobs().forEach(estimates.record);
    const job = pool.readJobs()[0];
    const {runTimeMs, size} = estimates.estimate(job);
    assert.ok(measureRunTime(job) >= 2_000);
    assert.ok(
      runTimeMs >= 2_000 && runTimeMs <= 3_000,
      `estimated run time is ${runTimeMs} ms`,
    );
    assert.ok(
      size.memoryMb >= 8_192,
      `estimated memory is ${size.memoryMb} MB`,
    );
  },
);

Then(
  'no host of the pool ever ran tasks that use more memory than it has after {int} more such jobs',
  async (count: number) => {
    for (let i = 0; i < count; i += 1) await submitNow(UNDERDECLARED_JOB);
    await advanceUntil(() => {
      for (const worker of pool.workers) {
        const running = worker
          .report()
          .tasks.filter(({state}) => state === 'running');
        assert.ok(running.length * 8_192 <= worker.host.memoryMb);
      }
      return pool.readJobs().every(job => job.state === JobState.Done);
    }, 60_000);
  },
);

Then('the second long-work host was reported as suspect once', () => {
  assert.deepEqual(suspects, [pool.hosts[1].id]);
});

When(
  "{int} seconds later the worker of the pool's job reboots",
  async (seconds: number) => {
    await advance(seconds * 1_000);
    const hostId = pool.readJobs()[0].attempts.at(-1)?.hostId;
    pool.workers.find(({host}) => host.id === hostId)?.reboot();
  },
);

When(
  '{int} seconds later all of them are cancelled at once',
  async (seconds: number) => {
    await advance(seconds * 1_000);
    const ids = accepted.map(({id}) => id);
    const cancelled = await settle(pool.api.cancelMany(POOL_NAME, ids));
    assert.ok(cancelled.every(answer => answer.isOk));
  },
);

Then('no long-work host runs a task', () => {
  for (const worker of pool.workers) assert.equal(worker.report().slotsUsed, 0);
});

When(
  '{int} seconds later interactive work lacks {int} slots of the pool',
  async (seconds: number, slots: number) => {
    await advance(seconds * 1_000);
    shortage = {slots, durationMs: 100};
  },
);

Then(
  'within {int} second {int} slots of the pool are free',
  async (seconds: number, slots: number) => {
    await advanceUntil(() => {
      const free = countFree();
      shortage = {slots: Math.max(0, slots - free), durationMs: 100};
      return free >= slots;
    }, seconds * 1_000);
    shortage = {slots: 1, durationMs: 100};
  },
);

function countFree(): number {
  const [leader] = pool.leaders;
  const free = pool.hosts.map(({id}) => leader.slots.getFreeSlots(id));
  return free.reduce((sum, slots) => sum + slots, 0);
}

Then(
  'long work keeps at least {int} slots of the pool for {int} seconds',
  async (minimum: number, seconds: number) => {
    for (let i = 0; i < seconds * 10; i += 1) {
      await advance(100);
      const used = pool.workers.map(worker => worker.report().slotsUsed);
      assert.ok(used.reduce((sum, slots) => sum + slots, 0) >= minimum);
    }
  },
);

When('interactive work lacks no slots of the pool any more', () => {
  shortage = {slots: 0, durationMs: 0};
});

Then("no work of the pool's jobs was lost to preemption", () => {
  for (const job of pool.readJobs()) {
    const ran = measureRunTime(job);
    assert.ok(ran < 13_000, `${job.id} ran for ${ran} ms`);
  }
});

When(
  '{int} seconds later the platform announces that the first long-work host leaves',
  async (seconds: number) => {
    await advance(seconds * 1_000);
    pool.states.set(pool.hosts[0].id, HostState.Leaving);
    pool.workers[0].setLeaving(true);
  },
);

Then(
  'within {int} seconds the first long-work host runs no task',
  async (seconds: number) => {
    const [worker] = pool.workers;
    await advanceUntil(() => worker.report().slotsUsed === 0, seconds * 1_000);
  },
);

When(
  '{int} seconds later another leader takes the pool over from a crashed one',
  async (seconds: number) => {
    await advance(seconds * 1_000);
    pool.leaders[0].dispose();
    await advance(4_000);
    pool.addLeader();
  },
);

Then('every job of the pool took one attempt', () => {
  for (const job of pool.readJobs()) assert.equal(job.attempts.length, 1);
});

When(
  "{int} seconds later the pool's store is down for {int} seconds and its leader resigns",
  async (seconds: number, down: number) => {
    await advance(seconds * 1_000);
    pool.storeFaults.down = true;
    await advance(5_000);
    pool.leaders[0].resign();
    await advance(down * 1_000 - 5_000);
    pool.storeFaults.down = false;
    pool.addLeader();
  },
);

Then("the pool's leader reported {int} jobs as overdue", (count: number) => {
  const reported = pool.leaders[0].telemetry.decisions
    .find()
    .filter(({kind}) => kind === DecisionKind.Overdue);
  assert.equal(reported.length, count);
});

Then(
  "within {int} seconds the pool's store holds no job",
  async (seconds: number) => {
    await advanceUntil(() => pool.readJobs().length === 0, seconds * 1_000);
  },
);

Then("the pool's store took at most {int} writes per job", (limit: number) => {
  const writesPerJob = pool.countWrites() / pool.readJobs().length;
  assert.ok(writesPerJob <= limit, `${writesPerJob} writes per job`);
});
