import {request} from 'undici';
import {Job} from '../../src/types';
import {delay} from '../../src/state';
import {EntryProcess} from '../shared';

/** Job that the bench submits. */
export interface JobDraft {
  readonly service: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly workMs: number;
}

const CALL_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 50;
const MAX_ATTEMPTS = 60;

/**
 * Submits a job to one entry host after another until it is accepted.
 *
 * @param entries entry hosts
 * @param draft job; its idempotency key makes repeated submissions the same job
 * @param firstIndex index of the entry host that is tried first
 */
export async function submitJob(
  entries: readonly EntryProcess[],
  draft: JobDraft,
  firstIndex: number,
): Promise<Job> {
  for (let i = 0; i < MAX_ATTEMPTS; i += 1) {
    const entry = entries[(firstIndex + i) % entries.length];
    const job = await trySubmit(entry, draft);
    if (job) return job;
    await delay(RETRY_DELAY_MS);
  }
  throw new Error(`no entry host accepted job ${draft.key}`);
}

async function trySubmit(
  entry: EntryProcess,
  {service, key, idempotent, workMs}: JobDraft,
): Promise<Job | undefined> {
  try {
    const response = await request(`${entry.callerUrl}/jobs/${service}`, {
      method: 'POST',
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
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
