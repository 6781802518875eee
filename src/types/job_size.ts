/** Resources that a job's task occupies on a worker. */
export interface JobSize {
  readonly slots: number;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
