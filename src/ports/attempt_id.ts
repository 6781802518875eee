/** Identifies an attempt of a job. */
export interface AttemptId {
  readonly jobId: string;
  readonly attempt: number;
}
