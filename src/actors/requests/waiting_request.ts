import {Result} from 'true-myth';
import {Profile} from '../../types';
import {Answer} from './answer';
import {InteractiveRequest} from './interactive_request';
import {Refusal} from './refusal';

/** A request that is queued or being sent to a worker. */
export interface WaitingRequest {
  readonly request: InteractiveRequest;
  readonly profile: Profile;
  readonly settle: (result: Result<Answer, Refusal>) => void;
  /** Monotonic time by which the response is due, in ms. */
  readonly deadlineAt: number;
  readonly idempotent: boolean;
  /** Number of earlier attempts. */
  readonly attempts: number;
  readonly triedHosts: readonly string[];
  readonly triedRacks: readonly string[];
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the next attempt must open a new connection. */
  readonly freshConnection: boolean;
}
