import {TaskEndKind} from '../../types/workflow';

/** What a stand-in fleet saw. */
export enum FleetEventKind {
  Start = 'start',
  End = 'end',
  /** A run went with its host, without an end. */
  Gone = 'gone',
  /** Ends up to a number were acknowledged. */
  Seen = 'seen',
  /** An order for a machine was carried out. */
  Order = 'order',
  /** A host has announced that it leaves. */
  Leaving = 'leaving',
  /** A start brought a host over its capacity. */
  Overfull = 'overfull',
}

/** One thing that a stand-in fleet saw. */
export interface FleetEvent {
  readonly kind: FleetEventKind;
  readonly hostId: string;
  readonly task: string;
  /** Number of the run; of the last acknowledged end for `Seen`. */
  readonly run: number;
  readonly how?: TaskEndKind;
  /** Steady time in ms. */
  readonly at: number;
  /** Holder and fencing token of an order for a machine. */
  readonly holder?: string;
  readonly fence?: number;
}

/** Takes note of an event; the time is added. */
export type RecordFleetEvent = (event: Omit<FleetEvent, 'at'>) => void;
