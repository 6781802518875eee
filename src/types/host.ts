/** A worker as the host list describes it. */
export interface Host {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly rack: string;
  readonly availabilityZone: string;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Requests and tasks that the worker runs at once. */
  readonly slots: number;
  /** Connections that the worker accepts at once. */
  readonly connections: number;
  /** Pool that a host without an assignment joins. */
  readonly initialPool: string;
  /** True once the platform has announced that the host leaves. */
  readonly leaving: boolean;
}
