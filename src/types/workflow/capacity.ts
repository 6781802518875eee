/** Resources that a host provides or a task needs. */
export interface Capacity {
  /** Thousandths of a processor. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
