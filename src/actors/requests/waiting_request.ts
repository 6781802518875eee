import {Result} from 'true-myth';
import {Profile} from '../../types';
import {Answer} from './answer';
import {InteractiveRequest} from './interactive_request';
import {Refusal} from './refusal';

/** A request in a pool's queue or on its way to a worker. */
export interface WaitingRequest {
  readonly request: InteractiveRequest;
  readonly profile: Profile;
  readonly settle: (result: Result<Answer, Refusal>) => void;
  /** Monotonic time by which the answer is due, in ms. */
  readonly deadlineAt: number;
  readonly idempotent: boolean;
  /** Attempts that ended without an answer. */
  readonly attempts: number;
  readonly triedHosts: readonly string[];
  readonly triedRacks: readonly string[];
  /** True once an attempt may have been run. */
  readonly mayHaveRun: boolean;
  /** True if the next attempt must use a connection of its own. */
  readonly freshConnection: boolean;
}
