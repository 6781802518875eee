/** What a member thinks of another one. */
export enum MemberVerdict {
  Live = 'live',
  /** Its lease is held, but no heartbeat came lately. */
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone',
}
