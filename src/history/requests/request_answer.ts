import {Outcome} from '../../types';

/** What a caller got for one attempt. */
export interface RequestAnswer {
  readonly requestId: string;
  readonly outcome: Outcome;
  /** True if a worker's answer reached its stated end. */
  readonly complete: boolean;
  /** Content that the answer's body belongs to; undefined if it is unreadable. */
  readonly content?: string;
}
