/** Kinds of event in a history of the fleet. */
export enum HistoryEventKind {
  /** A key was written or deleted. */
  Write = 'write',
  /** A host started to reboot by order. */
  Reboot = 'reboot',
}

/** A key that was written; without a value it was deleted. */
export interface HistoryWrite {
  readonly kind: HistoryEventKind.Write;
  /** Time in ms since the epoch. */
  readonly at: number;
  readonly key: string;
  readonly value?: string;
}

/** A host that started to reboot by order. */
export interface HistoryReboot {
  readonly kind: HistoryEventKind.Reboot;
  /** Time in ms since the epoch. */
  readonly at: number;
  readonly hostId: string;
}

/** One event, in the order of the store. */
export type HistoryEvent = HistoryWrite | HistoryReboot;
