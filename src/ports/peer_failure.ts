/** Why a call between members gave no answer. */
export enum PeerFailure {
  Unreachable = 'unreachable',
  TimedOut = 'timed-out',
  /** The peer knows a newer leader or isn't the one asked for. */
  Fenced = 'fenced',
  Rejected = 'rejected',
}
