import {request} from 'undici';
import {Job} from '../../src/types';
import {delay} from '../../src/state';
import {EntryProcess} from '../shared';

/** A job that the bench submits. */
export interface JobDraft {
  readonly service: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly workMs: number;
}

const TIMEOUT_MS = 2_000;
const PAUSE_MS = 50;
const TRIES = 60;

/**
 * Submits a job at one entry host after another until it is accepted.
 *
 * @param entries entry hosts
 * @param draft the job; its key makes repeats the same job
 * @param first number of the first entry host that is tried
 */
export async function submitJob(
  entries: readonly EntryProcess[],
  draft: JobDraft,
  first: number,
): Promise<Job> {
  for (let i = 0; i < TRIES; i += 1) {
    const entry = entries[(first + i) % entries.length];
    const job = await trySubmit(entry, draft);
    if (job) return job;
    await delay(PAUSE_MS);
  }
  throw new Error(`${draft.key} was accepted nowhere`);
}

async function trySubmit(
  entry: EntryProcess,
  {service, key, idempotent, workMs}: JobDraft,
): Promise<Job | undefined> {
  try {
    const response = await request(`${entry.callerUrl}/jobs/${service}`, {
      method: 'POST',
      signal: AbortSignal.timeout(TIMEOUT_MS),
      body: JSON.stringify({
        idempotencyKey: key,
        idempotent,
        input: `work-ms=${workMs}`,
        runTime: `${workMs}ms`,
        dueIn: '10m',
      }),
    });
    const body = (await response.body.json()) as Job;
    return response.statusCode === 202 ? body : undefined;
  } catch {
    return undefined;
  }
}
