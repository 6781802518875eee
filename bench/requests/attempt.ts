import {Outcome} from '../../src/types';

/** What one caller saw of one request; times are monotonic, in ms. */
export interface Attempt {
  readonly requestId: string;
  readonly pool: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if the connection broke. */
  readonly status: number;
  readonly outcome: Outcome | undefined;
  readonly reason: string | undefined;
  /** True for a whole answer to this very request. */
  readonly whole: boolean;
}
