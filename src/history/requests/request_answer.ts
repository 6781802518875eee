import {Outcome} from '../../types';

/** The answer that a caller received to one attempt. */
export interface RequestAnswer {
  readonly requestId: string;
  readonly outcome: Outcome;
  /** Whether the body of a worker's answer was received in full. */
  readonly complete: boolean;
  /**
   * Content of the request that the body answers; undefined if the body is
   * unreadable.
   */
  readonly content?: string;
}
