/** Form of the log lines. */
export enum LogFormat {
  /** One JSON object a line. */
  Json = 'json',
  /** For a person at a terminal. */
  Pretty = 'pretty',
}
