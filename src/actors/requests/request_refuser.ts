import {Result} from 'true-myth';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Outcome, RefusalReason} from '../../types';
import {Refusal} from './refusal';
import {WaitingRequest} from './waiting_request';

/** Refuses requests of a pool and records the reason. */
export interface RequestRefuser {
  refuse(waiting: WaitingRequest, refusal: Refusal): void;
  /**
   * Refuses a request that was cancelled or missed its deadline while waiting.
   */
  refuseExpired(waiting: WaitingRequest): void;
  /**
   * Refuses a request whose time left is shorter than the mean run time,
   * `runMs` in ms.
   */
  refuseUnreachable(waiting: WaitingRequest, runMs: number): void;
}

/**
 * Creates the refuser of one pool.
 *
 * @param telemetry counts and logs each refusal
 * @param pool name of the pool
 */
export function createRequestRefuser(
  telemetry: Telemetry,
  pool: string,
): RequestRefuser {
  function refuse(waiting: WaitingRequest, refusal: Refusal): void {
    const {request} = waiting;
    telemetry.countRefusal(request.service, refusal.reason);
    telemetry.recordDecision({
      kind: DecisionKind.Refuse,
      subject: request.id,
      pool,
      cause: `${refusal.reason}: ${refusal.detail}`,
      inputs: {
        reason: refusal.reason,
        outcome: refusal.outcome,
        attempts: waiting.attempts,
      },
    });
    waiting.settle(Result.err(refusal));
  }

  return {
    refuse,
    refuseExpired: waiting =>
      refuse(waiting, {
        reason: RefusalReason.DeadlinePassed,
        outcome: outcomeOfWaiting(waiting),
        detail: 'no slot came free before the deadline',
      }),
    refuseUnreachable: (waiting, runMs) =>
      refuse(waiting, {
        reason: RefusalReason.DeadlineUnreachable,
        outcome: outcomeOfWaiting(waiting),
        detail: 'the time left is shorter than a run',
        retryAfterMs: Math.ceil(runMs),
      }),
  };
}

/**
 * Returns the outcome of a waiting request, which an earlier attempt may have
 * run.
 */
function outcomeOfWaiting({mayHaveRun}: WaitingRequest): Outcome {
  return mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}
