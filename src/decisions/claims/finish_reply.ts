/** Reply to the report of a request's end. */
export interface FinishReply {
  /** False if the end could not be kept: try again. */
  readonly recorded: boolean;
}
