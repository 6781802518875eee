/** Names one incarnation of a host. */
export interface IncarnationId {
  readonly hostId: string;
  /** Unix time in ms at which it started; 0 if unknown. */
  readonly bornAt: number;
}
