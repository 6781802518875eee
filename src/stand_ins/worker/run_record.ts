/**
 * A run at a worker, recorded for history checks; times are Unix times in ms.
 */
export interface RunRecord {
  /** Id of the request, or of the job and attempt. */
  readonly id: string;
  readonly idempotencyKey?: string;
  readonly hostId: string;
  readonly startedAt: number;
  endedAt?: number;
  completed: boolean;
}
