import {isFinal} from '../../src/decisions/jobs';
import {AcceptedJob, JobRun, toJobRun} from '../../src/history/jobs';
import {delay} from '../../src/state';
import {Job, JobState} from '../../src/types';
import {ProcessSite, callJson} from '../shared';
import {JobDraft, submitJob} from './job_client';

/** What one phase of the bench left behind. */
export interface JobPhase {
  readonly accepted: readonly AcceptedJob[];
  readonly records: readonly Job[];
  readonly runs: readonly JobRun[];
  /** Writes to the store per job, all others of the site included. */
  readonly writesPerJob: number;
}

/** Options of a phase. */
export interface JobPhaseOptions {
  readonly drafts: readonly JobDraft[];
  readonly submitters: number;
  /** Time for which jobs may settle after the last fault, in ms. */
  readonly settleMs: number;
  /** Causes faults while jobs are submitted and run. */
  readonly disturb?: () => Promise<void>;
}

const POLL_MS = 500;

/** Submits jobs, causes faults, waits until all have settled and reads what is left. */
export async function runJobPhase(
  site: ProcessSite,
  {drafts, submitters, settleMs, disturb}: JobPhaseOptions,
): Promise<JobPhase> {
  const before = await site.readStoreCalls();
  const accepted: AcceptedJob[] = [];
  let next = 0;
  const lane = async () => {
    while (next < drafts.length) {
      const i = next;
      next += 1;
      const {id, idempotent} = await submitJob(site.entries, drafts[i], i);
      accepted.push({id, idempotent});
    }
  };
  const lanes = Array.from({length: submitters}, lane);
  await Promise.all([...lanes, disturb?.()]);
  const ids = new Set(accepted.map(({id}) => id));
  const records = await settle(site, ids, settleMs);
  const after = await site.readStoreCalls();
  return {
    accepted,
    records,
    runs: await readRuns(site, ids),
    writesPerJob: (after.write - before.write) / drafts.length,
  };
}

async function settle(
  site: ProcessSite,
  ids: ReadonlySet<string>,
  settleMs: number,
): Promise<readonly Job[]> {
  const endsAt = performance.now() + settleMs;
  for (;;) {
    const records = await readRecords(site, ids);
    const settled = records.every(
      ({state}) => isFinal(state) || state === JobState.Held,
    );
    if (settled || performance.now() > endsAt) return records;
    await delay(POLL_MS);
  }
}

async function readRecords(
  site: ProcessSite,
  ids: ReadonlySet<string>,
): Promise<readonly Job[]> {
  const answer = (await callJson('POST', `${site.platformUrl}/kv/list`, {
    prefix: 'jobs/',
  })) as {value: {entries: {value: string}[]}};
  return answer.value.entries
    .map(entry => JSON.parse(entry.value) as Job)
    .filter(({id}) => ids.has(id));
}

async function readRuns(
  site: ProcessSite,
  ids: ReadonlySet<string>,
): Promise<readonly JobRun[]> {
  const all = await Promise.all(site.hosts.map(host => site.readRuns(host)));
  return all
    .flatMap(({runs}) => runs.flatMap(run => toJobRun(run) ?? []))
    .filter(({jobId}) => ids.has(jobId));
}
