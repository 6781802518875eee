import {createHash, randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {isFinal} from '../../decisions/jobs';
import {Store} from '../../ports';
import {Snapshot, WriteOutcome, write} from '../../state';
import {Telemetry} from '../../telemetry';
import {
  Configuration,
  DecisionKind,
  Job,
  JobState,
  Profile,
  RefusalReason,
} from '../../types';
import {Submission} from './submission';

/** Callers' calls about long jobs; any entry host answers them from the store. */
export interface JobCalls {
  /** Resolves once the store holds the job. */
  submit(submission: Submission): Promise<Result<Job, RefusalReason>>;
  get(service: string, id: string): Promise<Result<Job, RefusalReason>>;
  list(service: string): Promise<Result<readonly Job[], RefusalReason>>;
  cancel(service: string, id: string): Promise<Result<Job, RefusalReason>>;
}

/** Where the calls get what they need. */
export interface JobCallsOptions {
  readonly store: Store;
  readonly telemetry: Telemetry;
  readonly configuration: Snapshot<Configuration | undefined>;
}

const CANCEL_TRIES = 5;

/** Creates the callers' calls about long jobs. */
export function createJobCalls(options: JobCallsOptions): JobCalls {
  const {store, telemetry, configuration} = options;

  function findProfile(service: string): Profile | undefined {
    const profiles = configuration.get()?.profiles ?? [];
    return profiles.find(profile => profile.services.includes(service));
  }

  async function submit(
    submission: Submission,
  ): Promise<Result<Job, RefusalReason>> {
    const profile = findProfile(submission.service);
    if (!profile) return Result.err(RefusalReason.UnknownService);
    const job = createJob(submission, profile);
    const key = keyOf(profile.pool, job.id);
    const written = await write(store, {
      key,
      expectedVersion: 0,
      value: JSON.stringify(job),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        telemetry.decide({
          kind: DecisionKind.Accept,
          subject: job.id,
          pool: profile.pool,
          cause: `${job.id} is stored and waits for a worker`,
        });
        return Result.ok(job);
      case WriteOutcome.Conflict:
        return written.found
          ? Result.ok(JSON.parse(written.found.value) as Job)
          : Result.err(RefusalReason.Conflict);
      case WriteOutcome.Unavailable:
        return Result.err(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return Result.err(RefusalReason.OutcomeUnknown);
    }
  }

  async function get(
    service: string,
    id: string,
  ): Promise<Result<Job, RefusalReason>> {
    const profile = findProfile(service);
    if (!profile) return Result.err(RefusalReason.UnknownService);
    const read = await store.get(keyOf(profile.pool, id));
    if (read.isErr) return Result.err(RefusalReason.StoreUnavailable);
    if (!read.value) return Result.err(RefusalReason.NotFound);
    return Result.ok(JSON.parse(read.value.value) as Job);
  }

  async function list(
    service: string,
  ): Promise<Result<readonly Job[], RefusalReason>> {
    const profile = findProfile(service);
    if (!profile) return Result.err(RefusalReason.UnknownService);
    const read = await store.list(`jobs/${profile.pool}/`);
    if (read.isErr) return Result.err(RefusalReason.StoreUnavailable);
    const jobs = read.value.entries.map(e => JSON.parse(e.value) as Job);
    return Result.ok(jobs.filter(job => job.service === service));
  }

  async function cancel(
    service: string,
    id: string,
  ): Promise<Result<Job, RefusalReason>> {
    const profile = findProfile(service);
    if (!profile) return Result.err(RefusalReason.UnknownService);
    for (let tries = 0; tries < CANCEL_TRIES; tries += 1) {
      const cancelled = await tryCancel(keyOf(profile.pool, id));
      if (cancelled) return cancelled;
    }
    return Result.err(RefusalReason.Conflict);
  }

  async function tryCancel(
    key: string,
  ): Promise<Result<Job, RefusalReason> | undefined> {
    const read = await store.get(key);
    if (read.isErr) return Result.err(RefusalReason.StoreUnavailable);
    if (!read.value) return Result.err(RefusalReason.NotFound);
    const job = JSON.parse(read.value.value) as Job;
    if (isFinal(job.state)) return Result.ok(job);
    const cancelled: Job = {
      ...job,
      state: JobState.Cancelled,
      cause: 'cancelled by the caller',
      finishedAt: Date.now(),
    };
    const written = await write(store, {
      key,
      expectedVersion: read.value.version,
      value: JSON.stringify(cancelled),
    });
    switch (written.outcome) {
      case WriteOutcome.Written:
        return Result.ok(cancelled);
      case WriteOutcome.Conflict:
        return undefined;
      case WriteOutcome.Unavailable:
        return Result.err(RefusalReason.StoreUnavailable);
      case WriteOutcome.Unknown:
        return Result.err(RefusalReason.OutcomeUnknown);
    }
  }

  return {submit, get, list, cancel};
}

function createJob(submission: Submission, profile: Profile): Job {
  return {
    id: idOf(submission),
    service: submission.service,
    pool: profile.pool,
    team: submission.team,
    state: JobState.Waiting,
    idempotent: submission.idempotent ?? profile.idempotent,
    size: submission.size,
    runTimeMs: submission.runTimeMs,
    submittedAt: Date.now(),
    dueAt: submission.dueAt,
    input: submission.input,
    attempts: [],
    cause: 'accepted',
  };
}

const ID_LENGTH = 20;

function idOf({service, team, idempotencyKey}: Submission): string {
  if (idempotencyKey === undefined) return `job-${randomUUID()}`;
  const text = JSON.stringify([service, team, idempotencyKey]);
  const digest = createHash('sha256').update(text).digest('hex');
  return `job-${digest.slice(0, ID_LENGTH)}`;
}

function keyOf(pool: string, id: string): string {
  return `jobs/${pool}/${id}`;
}
