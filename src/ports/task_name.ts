/** Identifies an attempt of a job. */
export interface TaskName {
  readonly jobId: string;
  readonly attempt: number;
}
