/** Kinds of key-value calls, which the stand-in counts separately. */
export enum CallKind {
  Read = 'read',
  Write = 'write',
  Lease = 'lease',
  Watch = 'watch',
}
