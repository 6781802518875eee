/** Observed resource usage of a task. */
export interface TaskUsage {
  /** Number of processors used. */
  readonly processors: number;
  readonly memoryMb: number;
}
