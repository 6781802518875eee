/** A member's assessment of another member's liveness. */
export enum MemberVerdict {
  Live = 'live',
  /** Its lease is held, but recent heartbeats are missing. */
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone',
}
