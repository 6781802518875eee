import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  JobHistory,
  JobRun,
  JobViolationKind,
  checkJobHistory,
} from '../../src/history/jobs';
import {isFinal} from '../../src/decisions/jobs';
import {Job, JobState} from '../../src/types';
import {advance, advanceUntil, seedRandom} from '../support/paused_clock';
import {JOB_COMMANDS, JobModel} from './job_commands';
import {JobPool, createJobPool} from './job_pool';

const SETTLE_TIMEOUT_MS = 1_200_000;
const MAX_COMMANDS = 40;

Then(
  '{int} random histories of jobs from seed {int} satisfy all guarantees of long work',
  {timeout: 120_000},
  async (numRuns: number, seed: number) => {
    const commands = fc.commands([...JOB_COMMANDS], {
      maxCommands: MAX_COMMANDS,
      size: 'max',
    });
    await fc.assert(
      fc.asyncProperty(commands, async chosen => {
        seedRandom(seed);
        const pool = createJobPool({workers: 3, slots: 2});
        pool.addLeader();
        try {
          const model: JobModel = {accepted: []};
          await fc.asyncModelRun(() => ({model, real: pool}), chosen);
          await endFaults(pool);
          const violations = checkJobHistory(pool.readHistory(model.accepted));
          assert.deepEqual(violations, []);
        } finally {
          pool.dispose();
        }
      }),
      {seed, numRuns, endOnFailure: true, includeErrorInReport: true},
    );
  },
);

/** Ends all faults and waits until every job is final or held. */
async function endFaults(pool: JobPool): Promise<void> {
  pool.storeFaults.down = false;
  for (const worker of pool.workers) worker.faults.crashed = false;
  for (const {gate} of pool.leaders) {
    gate.resume();
    gate.unreachable.clear();
    Object.assign(gate, {lostAnswers: 0, lostWrites: 0, startDelayMs: 0});
  }
  await advance(1_000);
  pool.addLeader();
  await advanceUntil(() => pool.readJobs().every(isSettled), SETTLE_TIMEOUT_MS);
  await advance(20_000);
}

function isSettled({state}: Job): boolean {
  return isFinal(state) || state === JobState.Held;
}

let history: JobHistory;

Given('a sound history of three jobs', () => {
  history = {
    accepted: [
      {id: 'a', idempotent: true},
      {id: 'b', idempotent: false},
      {id: 'c', idempotent: true},
    ],
    records: [
      record('a', JobState.Done),
      record('b', JobState.Done),
      record('c', JobState.Cancelled),
    ],
    runs: [
      run('a', 1, 0, 10),
      run('a', 2, 20, 30, true),
      run('b', 1, 0, 9, true),
    ],
  };
});

const INJECTED_FAULTS: Readonly<
  Record<string, (sound: JobHistory) => JobHistory>
> = {
  'a record is deleted': sound => ({
    ...sound,
    records: sound.records.filter(({id}) => id !== 'c'),
  }),
  'a job is left waiting': sound => withState(sound, 'a', JobState.Waiting),
  'two attempts overlap': sound => withRun(sound, run('a', 3, 25, 40)),
  'a once-only job runs again': sound => withRun(sound, run('b', 2, 20, 25)),
  'an attempt runs twice': sound => withRun(sound, run('a', 2, 40, 45)),
  'done without a completed run': sound => withState(sound, 'c', JobState.Done),
  'failed after a completed run': sound =>
    withState(sound, 'b', JobState.Failed),
  'a run of an unknown job': sound => withRun(sound, run('x', 1, 0, 1)),
};

When('{string} is injected into the job history', (fault: string) => {
  history = INJECTED_FAULTS[fault](history);
});

Then('the job history checker reports {string}', (violation: string) => {
  const kinds = checkJobHistory(history).map(({kind}) => kind);
  assert.ok(kinds.includes(violation as JobViolationKind), kinds.join());
});

Then('the job history checker reports nothing', () => {
  assert.deepEqual(checkJobHistory(history), []);
});

function record(id: string, state: JobState): Job {
  return {id, state, cause: '', attempts: []} as unknown as Job;
}

function run(
  jobId: string,
  attempt: number,
  startedAt: number,
  endedAt: number,
  completed = false,
): JobRun {
  return {jobId, attempt, hostId: 'host', startedAt, endedAt, completed};
}

function withRun(sound: JobHistory, added: JobRun): JobHistory {
  return {...sound, runs: [...sound.runs, added]};
}

function withState(sound: JobHistory, id: string, state: JobState): JobHistory {
  return {
    ...sound,
    records: sound.records.map(job => (job.id === id ? {...job, state} : job)),
  };
}
