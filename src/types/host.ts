/** A worker as described by the platform's host list. */
export interface Host {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly rack: string;
  readonly availabilityZone: string;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Maximum number of requests and tasks that the worker runs at once. */
  readonly slots: number;
  /** Maximum number of connections that the worker accepts at once. */
  readonly connections: number;
  /** Pool that a host without an assignment joins. */
  readonly initialPool: string;
  /** Whether the platform has announced the host's removal. */
  readonly leaving: boolean;
}
