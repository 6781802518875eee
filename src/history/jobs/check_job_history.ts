import {isFinal} from '../../decisions/jobs';
import {Job, JobState} from '../../types';
import {AcceptedJob, JobHistory, JobRun} from './job_history';
import {JobViolation, JobViolationKind} from './job_violation';

/**
 * Checks a history of long-running jobs.
 *
 * @param history jobs, records and runs, read once no work is pending
 * @returns all violations
 */
export function checkJobHistory(history: JobHistory): readonly JobViolation[] {
  const records = new Map(history.records.map(job => [job.id, job]));
  const runsByJob = groupRunsByJob(history.runs);
  const accepted = new Set(history.accepted.map(({id}) => id));
  const violations: JobViolation[] = [];
  for (const job of history.accepted) {
    const record = records.get(job.id);
    const jobRuns = runsByJob.get(job.id) ?? [];
    violations.push(...checkRecord(job, record, jobRuns));
    violations.push(...checkRuns(job.id, jobRuns));
    const released = history.released?.has(job.id) ?? false;
    if (!job.idempotent && !released && jobRuns.length > 1) {
      violations.push({
        kind: JobViolationKind.RanAgain,
        jobId: job.id,
        detail: `ran ${jobRuns.length} times: ${describeRuns(jobRuns)}`,
      });
    }
  }
  for (const [jobId, jobRuns] of runsByJob) {
    if (accepted.has(jobId)) continue;
    violations.push(...checkRuns(jobId, jobRuns));
    if (records.has(jobId)) continue;
    violations.push({
      kind: JobViolationKind.Unknown,
      jobId,
      detail: describeRuns(jobRuns),
    });
  }
  return violations;
}

function groupRunsByJob(
  runs: readonly JobRun[],
): ReadonlyMap<string, readonly JobRun[]> {
  const grouped = new Map<string, JobRun[]>();
  for (const run of runs) {
    const group = grouped.get(run.jobId);
    if (group) group.push(run);
    else grouped.set(run.jobId, [run]);
  }
  for (const jobRuns of grouped.values()) {
    jobRuns.sort((a, b) => a.startedAt - b.startedAt);
  }
  return grouped;
}

function checkRecord(
  {id}: AcceptedJob,
  record: Job | undefined,
  runs: readonly JobRun[],
): readonly JobViolation[] {
  const report = (kind: JobViolationKind, detail: string) => [
    {kind, jobId: id, detail},
  ];
  if (!record)
    return report(
      JobViolationKind.Lost,
      'the store holds no record of the job',
    );
  const {state, cause} = record;
  if (!isFinal(state) && state !== JobState.Held) {
    return report(JobViolationKind.Unfinished, `${state}: ${cause}`);
  }
  const completed = runs.some(run => run.completed);
  if (state === JobState.Done && !completed) {
    return report(JobViolationKind.FalseDone, describeRuns(runs));
  }
  if (state === JobState.Failed && runs.at(-1)?.completed) {
    return report(JobViolationKind.CompletionLost, describeRuns(runs));
  }
  return [];
}

function checkRuns(
  jobId: string,
  runs: readonly JobRun[],
): readonly JobViolation[] {
  const violations: JobViolation[] = [];
  const attempts = new Set<number>();
  let latestEnd = -Infinity;
  for (const run of runs) {
    if (run.startedAt < latestEnd) {
      violations.push({
        kind: JobViolationKind.Overlap,
        jobId,
        detail: describeRuns(runs),
      });
    }
    latestEnd = Math.max(latestEnd, run.endedAt ?? Infinity);
    if (attempts.has(run.attempt)) {
      violations.push({
        kind: JobViolationKind.AttemptRepeated,
        jobId,
        detail: describeRuns(runs),
      });
    }
    attempts.add(run.attempt);
  }
  return violations;
}

function describeRuns(runs: readonly JobRun[]): string {
  return runs
    .map(
      ({attempt, hostId, startedAt, endedAt, completed}) =>
        `#${attempt} on ${hostId} from ${startedAt} to ${endedAt ?? 'now'}${completed ? ' completed' : ''}`,
    )
    .join('; ');
}
