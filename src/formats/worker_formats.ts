import {z} from 'zod';
import {TaskReport, TaskState, WorkerReport} from '../ports';

/** Format of a worker's report about a task. */
export const taskReportFormat: z.ZodType<TaskReport> = z.looseObject({
  jobId: z.string(),
  attempt: z.int(),
  term: z.int(),
  state: z.enum(TaskState),
  progress: z.number(),
  checkpoint: z.string().optional(),
  result: z.string().optional(),
  usage: z
    .looseObject({processors: z.number(), memoryMb: z.number()})
    .optional(),
  cause: z.string().optional(),
});

/** Format of a worker's report about itself. */
export const workerReportFormat: z.ZodType<WorkerReport> = z.looseObject({
  hostId: z.string(),
  leaving: z.boolean(),
  draining: z.boolean(),
  slots: z.number(),
  slotsUsed: z.number(),
  connections: z.number(),
  connectionsUsed: z.number(),
  bootNumber: z.int(),
  processorsUsed: z.number(),
  memoryUsedMb: z.number(),
  tasks: z.array(taskReportFormat),
});
