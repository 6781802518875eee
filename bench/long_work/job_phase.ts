import {isFinal} from '../../src/decisions/jobs';
import {AcceptedJob, JobRun, toJobRun} from '../../src/history/jobs';
import {delay} from '../../src/state';
import {Job, JobState} from '../../src/types';
import {ProcessSite, callJson} from '../shared';
import {JobDraft, submitJob} from './job_client';

/** Jobs, runs and store writes of one phase of the bench. */
export interface JobPhase {
  readonly accepted: readonly AcceptedJob[];
  readonly records: readonly Job[];
  readonly runs: readonly JobRun[];
  /** Store writes of the whole site divided by the number of jobs. */
  readonly writesPerJob: number;
}

/** Options of a phase. */
export interface JobPhaseOptions {
  readonly drafts: readonly JobDraft[];
  readonly submitters: number;
  /**
   * Maximum time until all jobs are final or held, in ms, after the last fault.
   */
  readonly settleTimeoutMs: number;
  /** Injects faults while jobs are submitted and run. */
  readonly injectFaults?: () => Promise<void>;
}

const POLL_MS = 500;

/**
 * Submits jobs while faults are injected, waits until all jobs have settled and
 * reads their records and runs.
 */
export async function runJobPhase(
  site: ProcessSite,
  {drafts, submitters, settleTimeoutMs, injectFaults}: JobPhaseOptions,
): Promise<JobPhase> {
  const before = await site.readStoreCalls();
  const accepted: AcceptedJob[] = [];
  let nextIndex = 0;
  const submitNextJobs = async () => {
    while (nextIndex < drafts.length) {
      const i = nextIndex;
      nextIndex += 1;
      const {id, idempotent} = await submitJob(site.entries, drafts[i], i);
      accepted.push({id, idempotent});
    }
  };
  const submissions = Array.from({length: submitters}, submitNextJobs);
  await Promise.all([...submissions, injectFaults?.()]);
  const ids = new Set(accepted.map(({id}) => id));
  const records = await waitUntilSettled(site, ids, settleTimeoutMs);
  const after = await site.readStoreCalls();
  return {
    accepted,
    records,
    runs: await readRuns(site, ids),
    writesPerJob: (after.write - before.write) / drafts.length,
  };
}

async function waitUntilSettled(
  site: ProcessSite,
  ids: ReadonlySet<string>,
  timeoutMs: number,
): Promise<readonly Job[]> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const records = await readRecords(site, ids);
    const settled = records.every(
      ({state}) => isFinal(state) || state === JobState.Held,
    );
    if (settled || performance.now() > deadline) return records;
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
