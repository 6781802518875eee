import {TaskEndKind} from '../../types/workflow';

/** Kinds of events that the stand-in fleet records. */
export enum FleetEventKind {
  /** A host has started; under an id that was in use, it knows nothing of it. */
  Boot = 'boot',
  Start = 'start',
  /** A run of a lasting task is past its startup. */
  Serving = 'serving',
  End = 'end',
  /** A run was lost with its host, so no end is reported. */
  Lost = 'gone',
  /** The lease on the runs of a host has expired. */
  Lapse = 'lapse',
  /** All run ends up to a number were acknowledged. */
  Acknowledged = 'seen',
  /** A move or maintenance order for a machine was accepted. */
  Order = 'order',
  /** A host announced that it is draining. */
  Leaving = 'leaving',
  /** A started run exceeds the capacity of its host. */
  OverCapacity = 'overfull',
}

/** One recorded event of the stand-in fleet. */
export interface FleetEvent {
  readonly kind: FleetEventKind;
  readonly hostId: string;
  /** Name of the task; machine state and machine id for `Order`. */
  readonly task: string;
  /**
   * Number of the run; for an acknowledgement, number of the last acknowledged
   * end.
   */
  readonly run: number;
  /** How the run ended; set for `End` only. */
  readonly how?: TaskEndKind;
  /** Whether the host carried out the stop long after it was sent. */
  readonly isLate?: boolean;
  /** Monotonic time in ms. */
  readonly at: number;
  /** Leader that gave the order; set for `Order` only. */
  readonly holder?: string;
  /** Fencing token of the order; set for `Order` only. */
  readonly fence?: number;
}

/** Records an event with the current time. */
export type RecordFleetEvent = (event: Omit<FleetEvent, 'at'>) => void;
