/** One run of a request as its worker recorded it. */
export interface RequestRun {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly hostId: string;
}
