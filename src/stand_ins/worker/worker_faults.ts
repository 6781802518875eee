/** Faults that a test or bench causes at a worker. */
export interface WorkerFaults {
  /** Connections open now stay open and go silent; new ones work. */
  silentConnections: boolean;
  /** Requests and tasks fail as soon as they start. */
  failAll: boolean;
  /** Added time of each request in ms. */
  slowMs: number;
  /** Answers end before their stated length. */
  truncate: boolean;
  /** The worker has crashed: it accepts nothing. */
  crashed: boolean;
  /** A reboot never comes back. */
  stuckReboot: boolean;
}

/** Creates faults that are all off. */
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
