/** Why a call to another member failed. */
export enum PeerFailure {
  Unreachable = 'unreachable',
  TimedOut = 'timed-out',
  /** The peer knows a newer leader, or is not the member that was addressed. */
  Fenced = 'fenced',
  Rejected = 'rejected',
}
