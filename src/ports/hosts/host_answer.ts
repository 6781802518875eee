/** Why a host refused an order. */
export enum HostRefusal {
  /** The host has received a higher fencing token. */
  Fenced = 'fenced',
  /**
   * The run, or a later one of the same task, has already ended on the host.
   */
  OldRun = 'old-run',
  /** The lease in the order has expired. */
  LeaseExpired = 'late',
  /** The host lacks the capacity for the run. */
  NoRoom = 'no-room',
  /** The ticket is invalid. */
  Ticket = 'ticket',
  /** The order was not understood. */
  Malformed = 'malformed',
}

/** A host's answer to an order. */
export interface HostAnswer {
  /** Reading of the host's monotonic clock in ms; undefined if not reported. */
  readonly clockMs: number | undefined;
  /** Set if the order was refused. */
  readonly refusal: HostRefusal | undefined;
}
