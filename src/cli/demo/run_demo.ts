import {Site, createProfiles} from '../../stand_ins/site';
import {WorkerServer} from '../../stand_ins/worker';
import {delay} from '../../state';
import {Job, JobState, PoolRecord, SelectorKind} from '../../types';
import {EntryHost} from '../../wiring';
import {DemoSite, createDemoSite} from './demo_site';
import {DemoSummary, createDemoSummary} from './demo_summary';
import {callJson} from './http_call';
import {sendTraffic} from './traffic';

/** Options of the demo. */
export interface DemoOptions {
  readonly site: Site;
  /** Duration of the load, in seconds. */
  readonly seconds: number;
  /** Number of entry hosts. */
  readonly entries: number;
  /** Called with a line of text for each step. */
  readonly progress: (line: string) => void;
}

const JOB_COUNT = 5;
const JOBS_TIMEOUT_MS = 5_000;
const BUDGET_CHECK_INTERVAL_MS = 200;
const POLL_INTERVAL_MS = 100;
const PROGRESS_INTERVAL_MS = 1_000;

/** Runs the whole system in this process under load and returns statistics. */
export async function runDemo(options: DemoOptions): Promise<DemoSummary> {
  const {site, progress} = options;
  const demo = await createDemoSite(site, options.entries);
  const {entries, workers, platformUrl} = demo;
  const summary = createDemoSummary();
  progress(`started ${workers.length} workers of site ${site.name}`);

  await callJson('PUT', operatorUrl(entries[0], '/v1/configuration'), {
    baseRevision: 0,
    operationId: 'demo',
    author: 'demo',
    profiles: createProfiles(site),
  });
  await waitUntil(() => entries.every(entry => entry.isReady()));
  progress(`${entries.length} entry hosts are ready`);

  const jobs = await submitJobs(site, entries);
  progress(`submitted ${jobs.length} jobs`);
  await callJson('POST', operatorUrl(entries[0], '/v1/waves'), {
    selector: {kind: SelectorKind.Pool, name: site.pools[0].name},
    reason: 'demo',
    dueAt: Date.now() + options.seconds * 1_000,
  });
  progress(`declared a maintenance wave for pool ${site.pools[0].name}`);

  const budgetTimer = startBudgetTimer(site, platformUrl, summary);
  const progressTimer = startProgressTimer(options, demo, summary);
  await sendTraffic({site, entries, seconds: options.seconds, summary});
  clearInterval(progressTimer);
  clearInterval(budgetTimer);
  await waitForJobs(entries, jobs, summary);
  recordRuns(workers, summary);
  await demo.dispose();
  return summary;
}

async function submitJobs(
  site: Site,
  entries: readonly EntryHost[],
): Promise<readonly Job[]> {
  const jobs: Job[] = [];
  for (let i = 0; i < JOB_COUNT; i += 1) {
    const service = site.pools[i % site.pools.length].name;
    const entry = entries[i % entries.length];
    const body = {input: 'work-ms=1500', idempotencyKey: `demo-${i}`};
    const url = callerUrl(entry, `/jobs/${service}`);
    const answer = await callJson('POST', url, body);
    jobs.push(answer.body as Job);
  }
  return jobs;
}

function startProgressTimer(
  {progress, seconds}: DemoOptions,
  {workers}: DemoSite,
  summary: DemoSummary,
): NodeJS.Timeout {
  let second = 0;
  return setInterval(() => {
    second += 1;
    const refused = Object.values(summary.refusedByReason);
    const sum = refused.reduce((total, count) => total + count, 0);
    const maintained = countMaintained(workers);
    progress(
      `${second}/${seconds} s: ${summary.answered} answered, ${sum} refused, ${maintained} hosts maintained`,
    );
  }, PROGRESS_INTERVAL_MS);
}

/**
 * Periodically compares the unavailable hosts of each pool with its budget and
 * counts breaches.
 */
function startBudgetTimer(
  site: Site,
  url: string,
  summary: DemoSummary,
): NodeJS.Timeout {
  const budgets = new Map(
    createProfiles(site).map(p => [p.pool, p.maxUnavailable]),
  );
  return setInterval(async () => {
    const answer = await callJson('POST', `${url}/kv/list`, {prefix: 'pools/'});
    const {value} = answer.body as {value: {entries: {value: string}[]}};
    for (const entry of value.entries) {
      const record = JSON.parse(entry.value) as PoolRecord;
      const budget = budgets.get(record.pool) ?? 0;
      if (record.unavailable.length > budget) summary.budgetBreaches += 1;
    }
  }, BUDGET_CHECK_INTERVAL_MS);
}

/**
 * Waits until all jobs are done or a timeout expires, and counts done and lost
 * jobs in the summary.
 */
async function waitForJobs(
  entries: readonly EntryHost[],
  jobs: readonly Job[],
  summary: DemoSummary,
): Promise<void> {
  const deadlineAt = performance.now() + JOBS_TIMEOUT_MS;
  let latest: readonly Job[] = [];
  while (performance.now() < deadlineAt) {
    latest = await Promise.all(jobs.map(job => readJob(entries[0], job)));
    if (latest.every(job => job.state === JobState.Done)) break;
    await delay(POLL_INTERVAL_MS);
  }
  summary.jobsDone = latest.filter(j => j.state === JobState.Done).length;
  summary.jobsLost = latest.filter(job => job.id === undefined).length;
}

async function readJob(entry: EntryHost, {service, id}: Job): Promise<Job> {
  const url = callerUrl(entry, `/jobs/${service}/${id}`);
  return (await callJson('GET', url)).body as Job;
}

/** Records maintained hosts and repeated runs in the summary. */
function recordRuns(
  workers: readonly WorkerServer[],
  summary: DemoSummary,
): void {
  summary.hostsMaintained = countMaintained(workers);
  const runs = new Map<string, number>();
  for (const {model} of workers) {
    for (const {idempotencyKey} of model.runs) {
      if (idempotencyKey === undefined) continue;
      runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
    }
  }
  summary.doubled = [...runs.values()].filter(count => count > 1).length;
}

function countMaintained(workers: readonly WorkerServer[]): number {
  return workers.filter(({model}) => model.report().bootNumber > 1).length;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await delay(POLL_INTERVAL_MS);
}

function callerUrl({member}: EntryHost, path: string): string {
  return `http://${member.address}:${member.callerPort}${path}`;
}

function operatorUrl({member}: EntryHost, path: string): string {
  return `http://${member.address}:${member.operatorPort}${path}`;
}
