import {Outcome, RefusalReason} from '../../types';

/** Why a request got no answer from a worker, and what is certain about it. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly detail: string;
  /** Time after which a repeat may succeed, in ms. */
  readonly retryAfterMs?: number;
}
