import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {Answer} from '../../src/actors/requests';
import {createProfiles} from '../../src/stand_ins/site';
import {
  Job,
  JobState,
  PoolRecord,
  SelectorKind,
  WaveState,
} from '../../src/types';
import {
  MemorySite,
  configureSite,
  createMemorySite,
} from '../support/memory_site';
import {advanceUntil, settle} from '../support/paused_clock';

let site: MemorySite;
let answers: {id: string; answer: Answer}[] = [];
let job: Job;
let waveId: string;
let peakUnavailable = 0;
let crashedLeader: string | undefined;
let termBeforeCrash = 0;

After(() => site?.dispose());

Given(
  'a site with {int} entry hosts and its profiles applied',
  async (entries: number) => {
    site = createMemorySite({entries});
    await configureSite(site);
  },
);

When(
  'a request for {string} is sent to each entry host',
  async (service: string) => {
    answers = [];
    for (const {member, core} of site.entries) {
      const id = `request-at-${member.id}`;
      const result = await settle(
        core.requests.run({
          id,
          service,
          team: '',
          method: 'GET',
          path: '/',
          headers: {},
          body: Buffer.alloc(0),
        }),
      );
      if (result.isErr) throw new Error(result.error.detail);
      answers.push({id, answer: result.value});
    }
  },
);

Then(
  'each caller receives the complete answer to its own request',
  async () => {
    assert.equal(answers.length, site.entries.length);
    for (const {id, answer} of answers) {
      const chunks: Buffer[] = [];
      for await (const chunk of answer.body) chunks.push(chunk as Buffer);
      const body = JSON.parse(Buffer.concat(chunks).toString());
      assert.equal(body.requestId, id);
      assert.equal(body.worker, answer.hostId);
    }
  },
);

When(
  'a job for {string} is submitted to entry host {int}',
  async (service: string, number: number) => {
    const submitted = await settle(
      site.entries[number - 1].core.jobs.submit({
        service,
        team: '',
        size: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
        runTimeMs: 1_000,
        dueAt: Date.now() + 60_000,
        input: 'work-ms=1000',
      }),
    );
    if (submitted.isErr) throw new Error(submitted.error.reason);
    job = submitted.value;
  },
);

Then(
  'within {int} seconds entry host {int} reports the job as done with its result',
  async (seconds: number, number: number) => {
    await advanceUntil(async () => {
      const {jobs} = site.entries[number - 1].core;
      const read = await settle(jobs.get(job.service, job.id));
      if (read.isErr) throw new Error(read.error.reason);
      job = read.value;
      return job.state === JobState.Done;
    }, seconds * 1_000);
    assert.match(job.result ?? '', new RegExp(job.id));
  },
);

Then('the job ran once', () => {
  const runs = [...site.workers.values()].flatMap(worker => worker.runs);
  const jobRuns = runs.filter(run => run.id.startsWith(job.id));
  assert.equal(jobRuns.length, 1);
});

When(
  'an operator sets the deadline of {string} to {int} ms through entry host {int}',
  async (name: string, deadlineMs: number, number: number) => {
    const profiles = createProfiles(site.site).map(profile =>
      profile.name === name ? {...profile, deadlineMs} : profile,
    );
    const {configuration} = site.entries[number - 1].core;
    const applied = await settle(
      configuration.apply({
        baseRevision: 1,
        operationId: 'second',
        author: 'test',
        profiles,
      }),
    );
    assert.ok(applied.isOk);
  },
);

Then(
  'within {int} second revision {int} is active at every entry host',
  async (seconds: number, revision: number) => {
    await advanceUntil(
      () =>
        site.entries.every(
          ({core}) => core.configuration.current.get()?.revision === revision,
        ),
      seconds * 1_000,
    );
  },
);

When(
  'an operator declares maintenance of pool {string} through entry host {int}',
  async (pool: string, number: number) => {
    const declared = await settle(
      site.entries[number - 1].core.waves.declare({
        selector: {kind: SelectorKind.Pool, name: pool},
        reason: 'test',
        urgent: false,
        dueAt: Date.now() + 60_000,
      }),
    );
    if (declared.isErr) throw new Error(declared.error);
    waveId = declared.value.id;
  },
);

Then(
  'within {int} seconds every host of {string} has rebooted once',
  async (seconds: number, pool: string) => {
    const workers = [...site.workers.values()].filter(
      worker => worker.host.initialPool === pool,
    );
    peakUnavailable = 0;
    await advanceUntil(() => {
      const record = readRecord(pool);
      peakUnavailable = Math.max(peakUnavailable, record.unavailable.length);
      return workers.every(worker => worker.report().bootNumber === 2);
    }, seconds * 1_000);
  },
);

Then(
  'at most {int} hosts of {string} were unavailable at any time',
  (budget: number, pool: string) => {
    assert.ok(peakUnavailable > 0, `no host of ${pool} was unavailable`);
    assert.ok(
      peakUnavailable <= budget,
      `${peakUnavailable} hosts were unavailable at once`,
    );
  },
);

Then('the wave is done', async () => {
  await advanceUntil(
    () =>
      site.entries[0].core.waves.list().find(wave => wave.id === waveId)
        ?.state === WaveState.Done,
    5_000,
  );
});

When('the leader of {string} crashes', async (pool: string) => {
  await advanceUntil(() => readRecord(pool).term > 0, 5_000);
  const record = readRecord(pool);
  crashedLeader = record.leader;
  termBeforeCrash = record.term;
  site.entries.find(({member}) => member.id === crashedLeader)?.crash();
});

Then(
  'within {int} seconds another entry host leads {string} with a higher term',
  async (seconds: number, pool: string) => {
    await advanceUntil(
      () => readRecord(pool).term > termBeforeCrash,
      seconds * 1_000,
    );
    assert.notEqual(readRecord(pool).leader, crashedLeader);
  },
);

function readRecord(pool: string): PoolRecord {
  const entry = site.keyValue.get(`pools/${pool}`);
  const none = {pool, term: 0, leader: '', unavailable: []};
  return entry ? (JSON.parse(entry.value) as PoolRecord) : none;
}
