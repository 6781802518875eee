/** Kinds of changes of a key's claim. */
export enum ClaimEventKind {
  Claim = 'claim',
  Finish = 'finish',
  Release = 'release',
}
