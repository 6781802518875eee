/** Kinds of events concerning a configuration revision. */
export enum ConfigurationEventKind {
  /** The change was acknowledged to an operator as accepted. */
  Accepted = 'accepted',
  /** A member activated the revision. */
  Activated = 'in-force',
}

/** An event concerning a configuration revision. */
export interface ConfigurationEvent {
  /** Time in ms, on a clock common to all members. */
  readonly at: number;
  readonly kind: ConfigurationEventKind;
  /** Member that acknowledged the change or activated the revision. */
  readonly memberId: string;
  /** Id of the member's process; changes when the member restarts. */
  readonly incarnation: string;
  readonly revision: number;
  readonly operationId: string;
}
