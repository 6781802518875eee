import ms, {StringValue} from 'ms';
import {z} from 'zod';
import {Profile, Rank} from '../types';

const NAME = /^[a-z][a-z0-9-]{0,62}$/;
const name = z.string().regex(NAME, 'must match [a-z][a-z0-9-]*');

const duration = z.string().refine(text => parseDuration(text) !== undefined, {
  message: 'must be a duration such as 500ms, 2s, 30m or 14d',
});

/** Schema of a profile document, in which durations are texts. */
export const profileSchema = z.strictObject({
  name,
  pool: name.describe('Pool that serves the profile.'),
  services: z.array(name).min(1),
  hosts: z.int().min(1).describe('Hosts that the services may count on.'),
  maxUnavailable: z
    .int()
    .min(0)
    .describe('Hosts that may be unavailable at once, for whatever cause.'),
  rank: z.enum(Rank).default(Rank.Normal),
  deadline: duration.default('2s'),
  queueLimit: z.int().min(1).max(100_000).default(1_000),
  preemption: duration.default('1s'),
  idempotent: z.boolean().default(false),
  teamQuotas: z.record(z.string(), z.number().gt(0).max(1)).default({}),
  longWorkMinimum: z.number().min(0).max(1).default(0.1),
  maintenanceInterval: duration.default('14d'),
  spare: z.boolean().default(false),
});

/** A profile document after validation. */
export type ProfileDocument = z.infer<typeof profileSchema>;

/**
 * Converts a validated document to a profile.
 *
 * @param document document with durations as texts
 */
export function toProfile(document: ProfileDocument): Profile {
  const {deadline, preemption, maintenanceInterval, ...rest} = document;
  return {
    ...rest,
    deadlineMs: parseDuration(deadline) ?? 0,
    preemptionMs: parseDuration(preemption) ?? 0,
    maintenanceIntervalMs: parseDuration(maintenanceInterval) ?? 0,
  };
}

/**
 * Parses a duration such as "500ms" or "14d".
 *
 * @param text the duration
 * @returns the duration in ms, or undefined if the text isn't a duration
 */
export function parseDuration(text: string): number | undefined {
  if (!/^\d+(\.\d+)?(ms|s|m|h|d)$/.test(text)) return undefined;
  return ms(text as StringValue);
}
