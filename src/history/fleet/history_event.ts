/** Kinds of events in a history of the fleet. */
export enum HistoryEventKind {
  /** A key was written or deleted. */
  Write = 'write',
  /** A host started an ordered reboot. */
  Reboot = 'reboot',
}

/** A write to a key. */
export interface HistoryWrite {
  readonly kind: HistoryEventKind.Write;
  /** Time in ms since the epoch. */
  readonly at: number;
  readonly key: string;
  /** Value written; undefined if the key was deleted. */
  readonly value?: string;
}

/** The start of an ordered reboot of a host. */
export interface HistoryReboot {
  readonly kind: HistoryEventKind.Reboot;
  /** Time in ms since the epoch. */
  readonly at: number;
  readonly hostId: string;
}

/** An event in a history of the fleet. */
export type HistoryEvent = HistoryWrite | HistoryReboot;
