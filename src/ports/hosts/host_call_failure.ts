/** Why a call got no answer from the intended host incarnation. */
export enum HostCallFailure {
  /** No answer; the call may have been carried out or may still be. */
  NoAnswer = 'no-answer',
  /** The call did not reach the host. */
  Unreachable = 'unreachable',
  /** The host is unhealthy and did not carry out the call. */
  Unhealthy = 'unhealthy',
  /**
   * Another incarnation is at the address; the intended one no longer exists.
   */
  Replaced = 'replaced',
}
