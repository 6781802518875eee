/** Maintenance of a set of machines, declared by the operator. */
export interface MaintenanceWave {
  readonly number: number;
  /** Ids of the machines to service. */
  readonly machines: readonly string[];
  /** Time from the start of the wave to its planned end, in ms. */
  readonly durationMs: number;
  /** Maximum number of machines that may be down for the wave at once. */
  readonly limit: number;
}
