/** A run of a request as recorded by its worker. */
export interface RequestRun {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly hostId: string;
}
