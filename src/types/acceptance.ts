/** Record of the acceptance of a configuration revision. */
export interface Acceptance {
  readonly revision: number;
  readonly operationId: string;
  readonly author: string;
  /** Wall-clock time of the acceptance in ms since the epoch. */
  readonly acceptedAt: number;
}
