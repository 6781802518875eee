/** Faults of a worker, set by tests and benches. */
export interface WorkerFaults {
  /**
   * Connections that are open when this is set stay open but get no more
   * answers; new connections work.
   */
  silentConnections: boolean;
  /** Requests get status 500, and tasks fail as soon as they start. */
  failAll: boolean;
  /** Additional time of each request in ms. */
  slowMs: number;
  /** Response bodies end before their content length. */
  truncate: boolean;
  /** The worker has crashed and accepts no connections. */
  crashed: boolean;
  /** A reboot does not finish until the worker is repaired. */
  stuckReboot: boolean;
}

/** Creates a set of faults that are all off. */
export function createWorkerFaults(): WorkerFaults {
  return {
    silentConnections: false,
    failAll: false,
    slowMs: 0,
    truncate: false,
    crashed: false,
    stuckReboot: false,
  };
}
