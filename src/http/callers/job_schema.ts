import {z} from 'zod';
import {parseDuration} from '../../profiles';

const DAY_MS = 86_400_000;

const duration = z.string().refine(text => parseDuration(text) !== undefined, {
  message: 'must be a duration such as 30s or 2h',
});

/** Schema of the body of POST /jobs/SERVICE. */
export const jobSchema = z.strictObject({
  team: z.string().max(64).default(''),
  input: z.string().max(65_536).default(''),
  idempotent: z.boolean().optional(),
  idempotencyKey: z.string().min(1).max(256).optional(),
  runTime: duration.default('1m'),
  /** Duration from now within which the job must be finished. */
  dueIn: duration.default('12h'),
  size: z
    .strictObject({
      slots: z.int().min(1).max(1024).default(1),
      processors: z.number().min(0).default(1),
      memoryMb: z.number().min(0).default(512),
      accelerators: z.int().min(0).default(0),
    })
    .prefault({}),
});

/** Schema of the body of POST /jobs/SERVICE/cancel. */
export const cancelSchema = z.strictObject({
  ids: z.array(z.string().min(1).max(128)).min(1).max(1_000),
});

/**
 * Returns the time by which a job must be finished, in ms since the epoch.
 *
 * @param dueIn duration from now, such as "2h"
 */
export function getDueAt(dueIn: string): number {
  return Date.now() + (parseDuration(dueIn) ?? DAY_MS);
}
