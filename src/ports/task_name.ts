/** One attempt of one job. */
export interface TaskName {
  readonly jobId: string;
  readonly attempt: number;
}
