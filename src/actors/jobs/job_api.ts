import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {checkSatisfiable, isFinal} from '../../decisions/jobs';
import {Store} from '../../ports';
import {ObservableValue, WriteOutcome, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  AttemptEnd,
  Configuration,
  DecisionKind,
  Finding,
  Job,
  JobState,
  PoolHost,
  Profile,
  RefusalReason,
} from '../../types';
import {createJob, keyOfJob} from './create_job';
import {JobRefusal} from './job_refusal';
import {ReleaseDecision} from './release_decision';
import {runBounded} from './run_bounded';
import {Submission} from './submission';

/** Result of an operation on a job. */
export type JobResult<T> = Promise<Result<T, JobRefusal>>;

/**
 * Operations on jobs for callers; any entry host serves them from the store.
 */
export interface JobApi {
  /** Submits a job; resolves once it is stored or refused. */
  submit(submission: Submission): JobResult<Job>;
  get(service: string, id: string): JobResult<Job>;
  list(service: string): JobResult<readonly Job[]>;
  cancel(service: string, id: string): JobResult<Job>;
  /** Cancels several jobs; returns one result per distinct id. */
  cancelMany(
    service: string,
    ids: readonly string[],
  ): Promise<readonly Result<Job, JobRefusal>[]>;
  /** Applies an operator's decision to a held job. */
  release(
    service: string,
    id: string,
    decision: ReleaseDecision,
  ): JobResult<Job>;
}

/** Options for {@link createJobApi}. */
export interface JobApiOptions {
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly configuration: ObservableValue<Configuration | undefined>;
  readonly getPoolHosts: (pool: string) => readonly PoolHost[];
}

/** Computes an update of a job; undefined if no update is needed. */
type JobUpdate = (job: Job) => Result<Partial<Job> | undefined, RefusalReason>;

const MAX_WRITE_ATTEMPTS = 5;
const MAX_CONCURRENT_CANCELS = 16;

/** Creates the operations on jobs. */
export function createJobApi(options: JobApiOptions): JobApi {
  const {store, telemetry, configuration} = options;

  function findProfile(service: string): Profile | undefined {
    const profiles = configuration.get()?.profiles ?? [];
    return profiles.find(profile => profile.services.includes(service));
  }

  function refuse<T>(
    service: string,
    reason: RefusalReason,
    findings?: readonly Finding[],
  ): Result<T, JobRefusal> {
    telemetry.countRefusal(service, reason);
    return Result.err({reason, findings});
  }

  async function submit(submission: Submission): JobResult<Job> {
    const {service, size} = submission;
    const profile = findProfile(service);
    if (!profile) return refuse(service, RefusalReason.UnknownService);
    const hosts = options.getPoolHosts(profile.pool).map(({host}) => host);
    const findings = checkSatisfiable(size, hosts);
    if (findings.length > 0) {
      return refuse(service, RefusalReason.Unsatisfiable, findings);
    }
    return persist(createJob(submission, profile));
  }

  /**
   * Stores a new job.
   *
   * A write with an unknown outcome is safe to repeat, since the key belongs to
   * this job only: a record found under it stems from an earlier try or from an
   * earlier submission with the same idempotency key, and is the result.
   */
  async function persist(job: Job): JobResult<Job> {
    const value = JSON.stringify(job);
    let reason = RefusalReason.StoreUnavailable;
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
      const swap = {key: keyOfJob(job), expectedVersion: 0, value};
      const written = await write(store, swap);
      if (written.outcome === WriteOutcome.Written) return accept(job);
      if (written.outcome === WriteOutcome.Conflict) {
        if (written.found) return accept(JSON.parse(written.found.value));
        return refuse(job.service, RefusalReason.Conflict);
      }
      if (written.outcome === WriteOutcome.Unavailable) break;
      reason = RefusalReason.OutcomeUnknown;
    }
    return refuse(job.service, reason);
  }

  function accept(job: Job): Result<Job, JobRefusal> {
    telemetry.recordDecision({
      kind: DecisionKind.Accept,
      subject: job.id,
      pool: job.pool,
      cause: `${job.id} is stored in state ${job.state}`,
    });
    return Result.ok(job);
  }

  async function get(service: string, id: string): JobResult<Job> {
    const profile = findProfile(service);
    if (!profile) return refuse(service, RefusalReason.UnknownService);
    const read = await store.get(keyOfJob({pool: profile.pool, id}));
    if (read.isErr) return refuse(service, RefusalReason.StoreUnavailable);
    if (!read.value) return refuse(service, RefusalReason.NotFound);
    return Result.ok(JSON.parse(read.value.value) as Job);
  }

  async function list(service: string): JobResult<readonly Job[]> {
    const profile = findProfile(service);
    if (!profile) return refuse(service, RefusalReason.UnknownService);
    const read = await store.list(`jobs/${profile.pool}/`);
    if (read.isErr) return refuse(service, RefusalReason.StoreUnavailable);
    const jobs = read.value.entries.map(e => JSON.parse(e.value) as Job);
    return Result.ok(jobs.filter(job => job.service === service));
  }

  async function update(
    service: string,
    id: string,
    decide: JobUpdate,
  ): JobResult<Job> {
    const profile = findProfile(service);
    if (!profile) return refuse(service, RefusalReason.UnknownService);
    const key = keyOfJob({pool: profile.pool, id});
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
      const read = await store.get(key);
      if (read.isErr) return refuse(service, RefusalReason.StoreUnavailable);
      if (!read.value) return refuse(service, RefusalReason.NotFound);
      const job = JSON.parse(read.value.value) as Job;
      const decided = decide(job);
      if (decided.isErr) return refuse(service, decided.error);
      if (!decided.value) return Result.ok(job);
      const next = {...job, ...decided.value, operationId: randomUUID()};
      const written = await write(store, {
        key,
        expectedVersion: read.value.version,
        value: JSON.stringify(next),
      });
      switch (written.outcome) {
        case WriteOutcome.Written:
          return Result.ok(reportDecision(next));
        case WriteOutcome.Unavailable:
          return refuse(service, RefusalReason.StoreUnavailable);
        default:
          continue;
      }
    }
    return refuse(service, RefusalReason.Conflict);
  }

  function reportDecision(job: Job): Job {
    const cancelled = job.state === JobState.Cancelled;
    telemetry.recordDecision({
      kind: cancelled ? DecisionKind.Cancel : DecisionKind.Release,
      subject: job.id,
      pool: job.pool,
      cause: `${job.id}: ${job.cause}`,
      inputs: {state: job.state},
    });
    return job;
  }

  const cancel = (service: string, id: string) =>
    update(service, id, cancelJob);

  return {
    submit,
    get,
    list,
    cancel,
    async cancelMany(service, ids) {
      const answers = new Map<string, Result<Job, JobRefusal>>();
      await runBounded(ids, MAX_CONCURRENT_CANCELS, async id => {
        answers.set(id, await cancel(service, id));
      });
      return [...answers.values()];
    },
    release: (service, id, decision) =>
      update(service, id, job => releaseJob(job, decision)),
  };
}

function cancelJob(job: Job): ReturnType<JobUpdate> {
  if (isFinal(job.state)) return Result.ok(undefined);
  return Result.ok({
    state: JobState.Cancelled,
    cause: 'cancelled by the caller',
    finishedAt: Date.now(),
  });
}

function releaseJob(
  job: Job,
  decision: ReleaseDecision,
): ReturnType<JobUpdate> {
  if (job.state !== JobState.Held) return Result.err(RefusalReason.Conflict);
  if (decision === ReleaseDecision.Rerun) {
    return Result.ok({
      state: JobState.Waiting,
      attempts: resetFailures(job),
      cause: 'released by an operator to run again',
    });
  }
  return Result.ok({
    state: JobState.Failed,
    cause: `given up by an operator: ${job.cause}`,
    finishedAt: Date.now(),
  });
}

/**
 * Resets the failures of a job.
 *
 * The last attempt is kept as stopped, so that attempt numbers continue.
 */
function resetFailures(job: Job): Job['attempts'] {
  const last = job.attempts.at(-1);
  return last ? [{...last, end: AttemptEnd.Stopped}] : [];
}
