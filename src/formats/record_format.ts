import {z} from 'zod';
import {
  AttemptEnd,
  HostAssignment,
  HostState,
  Job,
  JobState,
  LeaderRecord,
  MemberRecord,
  PoolRecord,
  SelectorKind,
  Wave,
  WaveState,
} from '../types';

/** Format of the records under a prefix of the store. */
export interface RecordFormat<T = unknown> {
  readonly prefix: string;
  readonly schema: z.ZodType<T>;
  /** Returns the key under which a record has to be stored. */
  keyOf(record: T): string;
}

const memberFormat = createFormat<MemberRecord>(
  'members/',
  z.looseObject({
    id: z.string(),
    availabilityZone: z.string(),
    address: z.string(),
    callerPort: z.int(),
    operatorPort: z.int(),
    peerPort: z.int(),
    startedAt: z.number(),
    leaving: z.boolean(),
    incarnation: z.string(),
  }),
  ({id}) => id,
);

const leaderFormat = createFormat<LeaderRecord>(
  'leaders/',
  z.looseObject({
    pool: z.string(),
    memberId: z.string(),
    leaseId: z.string(),
    electionId: z.string(),
    since: z.number(),
  }),
  ({pool}) => pool,
);

const poolFormat = createFormat<PoolRecord>(
  'pools/',
  z.looseObject({
    pool: z.string(),
    term: z.int(),
    leader: z.string(),
    electionId: z.string().optional(),
    unavailable: z.array(
      z.looseObject({
        hostId: z.string(),
        state: z.enum(HostState).exclude(['Active']),
        since: z.number(),
        waveId: z.string().optional(),
        cause: z.string(),
        bootNumber: z.number().optional(),
        rebootAt: z.number().optional(),
        movesTo: z.string().optional(),
      }),
    ),
    sequence: z.number().optional(),
    budget: z.number().optional(),
  }),
  ({pool}) => pool,
);

const assignmentFormat = createFormat<HostAssignment>(
  'hosts/',
  z.looseObject({
    hostId: z.string(),
    pool: z.string(),
    lastMaintainedAt: z.number(),
    completedWaves: z.array(z.string()),
    operationId: z.string().optional(),
    adoptedAt: z.number().optional(),
    movedAt: z.number().optional(),
    movedFrom: z.string().optional(),
    maintenanceMs: z.number().optional(),
    releasedAt: z.number().optional(),
  }),
  ({hostId}) => hostId,
);

const waveFormat = createFormat<Wave>(
  'waves/',
  z.looseObject({
    id: z.string(),
    selector: z.looseObject({kind: z.enum(SelectorKind), name: z.string()}),
    reason: z.string(),
    urgent: z.boolean(),
    declaredAt: z.number(),
    dueAt: z.number(),
    state: z.enum(WaveState),
    cause: z.string(),
    hostIds: z.array(z.string()),
    acceptedLosses: z.array(z.string()).optional(),
    endedAt: z.number().optional(),
    operationId: z.string().optional(),
  }),
  ({id}) => id,
);

const jobFormat = createFormat<Job>(
  'jobs/',
  z.looseObject({
    id: z.string(),
    operationId: z.string(),
    service: z.string(),
    pool: z.string(),
    team: z.string(),
    state: z.enum(JobState),
    term: z.int(),
    idempotent: z.boolean(),
    size: z.looseObject({
      slots: z.number(),
      processors: z.number(),
      memoryMb: z.number(),
      accelerators: z.number(),
    }),
    runTimeMs: z.number(),
    submittedAt: z.number(),
    dueAt: z.number(),
    input: z.string(),
    attempts: z.array(
      z.looseObject({
        number: z.int(),
        hostId: z.string(),
        term: z.int(),
        bootNumber: z.number().optional(),
        startedAt: z.number(),
        end: z.enum(AttemptEnd).optional(),
        endedAt: z.number().optional(),
      }),
    ),
    checkpoint: z.string().optional(),
    result: z.string().optional(),
    usage: z
      .looseObject({processors: z.number(), memoryMb: z.number()})
      .optional(),
    cause: z.string(),
    finishedAt: z.number().optional(),
  }),
  ({pool, id}) => `${pool}/${id}`,
);

/** Formats of the records that the members share through the store. */
export const RECORD_FORMATS: readonly RecordFormat[] = [
  memberFormat,
  leaderFormat,
  poolFormat,
  assignmentFormat,
  waveFormat,
  jobFormat,
];

function createFormat<T>(
  prefix: string,
  schema: z.ZodType<T>,
  getName: (record: T) => string,
): RecordFormat {
  return {
    prefix,
    schema,
    keyOf: record => `${prefix}${getName(record as T)}`,
  };
}
