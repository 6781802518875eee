/** Kinds of calls that the platform's service counts. */
export enum CallKind {
  Read = 'read',
  Write = 'write',
  Lease = 'lease',
  Watch = 'watch',
}
