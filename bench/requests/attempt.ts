import {Outcome} from '../../src/types';

/** A request as its caller observed it; times are monotonic, in ms. */
export interface Attempt {
  readonly requestId: string;
  readonly pool: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 if the connection failed. */
  readonly status: number;
  readonly outcome: Outcome | undefined;
  readonly reason: string | undefined;
  /** Whether a complete answer to this request was received. */
  readonly complete: boolean;
}
