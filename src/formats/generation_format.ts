import {z} from 'zod';
import {ClaimEventKind, Generation} from '../decisions/claims';
import {Outcome} from '../types';

const recordedAnswer = z.looseObject({
  status: z.int(),
  headers: z.string(),
  body: z.string(),
  hostId: z.string(),
});

/** Format of a segment of a claims partition's event log. */
export const generationFormat: z.ZodType<Generation> = z.looseObject({
  number: z.int().min(0),
  term: z.int(),
  owner: z.string(),
  operationId: z.string(),
  openedAt: z.number(),
  writtenAt: z.number(),
  sealed: z.boolean(),
  events: z.array(
    z.looseObject({
      kind: z.enum(ClaimEventKind),
      key: z.string(),
      requestId: z.string(),
      fingerprint: z.string().optional(),
      outcome: z.enum(Outcome).optional(),
      answer: recordedAnswer.optional(),
    }),
  ),
});
