/** One run at a worker, for history checks; times are in ms since the epoch. */
export interface RunRecord {
  /** Request id, or job id and attempt. */
  readonly id: string;
  readonly idempotencyKey?: string;
  readonly hostId: string;
  readonly startedAt: number;
  endedAt?: number;
  completed: boolean;
}
