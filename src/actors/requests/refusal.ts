import {Outcome, RefusalReason} from '../../types';

/** Why a request got no response from a worker, and whether it was run. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly detail: string;
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfterMs?: number;
}
