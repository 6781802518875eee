/** That and when a revision of the configuration was accepted. */
export interface Acceptance {
  readonly revision: number;
  readonly operationId: string;
  readonly author: string;
  /** Wall-clock time in ms since the epoch. */
  readonly acceptedAt: number;
}
