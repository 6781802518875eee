import {z} from 'zod';
import {Decision, DecisionKind} from '../types';

/** Format of a decision that another member has recorded. */
export const decisionFormat: z.ZodType<Decision> = z.looseObject({
  at: z.number(),
  memberId: z.string(),
  kind: z.enum(DecisionKind),
  subject: z.string(),
  pool: z.string(),
  cause: z.string(),
  inputs: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
