import {createHash, randomUUID} from 'node:crypto';
import {Job, JobState, Profile} from '../../types';
import {Submission} from './submission';

const ID_LENGTH = 20;

/**
 * Creates the record of a newly accepted job.
 *
 * @param submission the caller's submission
 * @param profile the profile of the service
 */
export function createJob(submission: Submission, profile: Profile): Job {
  return {
    id: idOf(submission),
    operationId: randomUUID(),
    term: 0,
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

/** Returns the store key of a job. */
export function keyOfJob({pool, id}: Pick<Job, 'pool' | 'id'>): string {
  return `jobs/${pool}/${id}`;
}

function idOf({service, team, idempotencyKey}: Submission): string {
  if (idempotencyKey === undefined) return `job-${randomUUID()}`;
  const text = JSON.stringify([service, team, idempotencyKey]);
  const digest = createHash('sha256').update(text).digest('hex');
  return `job-${digest.slice(0, ID_LENGTH)}`;
}
