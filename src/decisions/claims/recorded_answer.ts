/** A worker's answer as it is kept for repeats of its request. */
export interface RecordedAnswer {
  readonly status: number;
  /** JSON text of the headers. */
  readonly headers: string;
  /** Body in base64. */
  readonly body: string;
  readonly hostId: string;
}
