/** Output format of log lines. */
export enum LogFormat {
  /** One JSON object per line. */
  Json = 'json',
  /** Text for reading at a terminal. */
  Pretty = 'pretty',
}
