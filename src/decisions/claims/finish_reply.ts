/** Reply to the report of a request's end. */
export interface FinishReply {
  /**
   * False if the end could not be recorded and the report should be repeated.
   */
  readonly recorded: boolean;
}
