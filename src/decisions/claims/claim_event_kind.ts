/** Kinds of change to a key's claim. */
export enum ClaimEventKind {
  Claim = 'claim',
  Finish = 'finish',
  Release = 'release',
}
