/** Resources that a task was seen to use. */
export interface TaskUsage {
  readonly processors: number;
  readonly memoryMb: number;
}
