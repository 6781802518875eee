import {z} from 'zod';
import {Configuration, Rank} from '../types';

const acceptance = {
  revision: z.int().min(1),
  operationId: z.string(),
  author: z.string(),
  acceptedAt: z.number(),
};

const profile = z.looseObject({
  name: z.string(),
  pool: z.string(),
  services: z.array(z.string()),
  hosts: z.int(),
  maxUnavailable: z.int(),
  rank: z.enum(Rank),
  deadlineMs: z.number(),
  queueLimit: z.int(),
  preemptionMs: z.number(),
  idempotent: z.boolean(),
  teamQuotas: z.record(z.string(), z.number()),
  longWorkMinimum: z.number(),
  maintenanceIntervalMs: z.number(),
  spare: z.boolean(),
});

/** Format of a revision of the operators' configuration. */
export const configurationFormat: z.ZodType<Configuration> = z.looseObject({
  ...acceptance,
  profiles: z.array(profile),
  recent: z.array(z.looseObject(acceptance)).optional(),
});
