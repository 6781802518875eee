/** Recorded response of a worker, replayed when its request is repeated. */
export interface RecordedAnswer {
  readonly status: number;
  /** JSON text of the headers. */
  readonly headers: string;
  /** Body in base64. */
  readonly body: string;
  readonly hostId: string;
}
