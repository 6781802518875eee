/** Kinds of events in the life of a revision. */
export enum ConfigurationEventKind {
  /** An operator was told that the change was accepted. */
  Accepted = 'accepted',
  /** A member put the revision in force. */
  InForce = 'in-force',
}

/** One event in the life of a revision. */
export interface ConfigurationEvent {
  /** Time in ms on one clock for all members. */
  readonly at: number;
  readonly kind: ConfigurationEventKind;
  /** Member, and run of its process, that answered or put it in force. */
  readonly memberId: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly operationId: string;
}
