import {Result} from 'true-myth';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Outcome, RefusalReason} from '../../types';
import {Refusal} from './refusal';
import {WaitingRequest} from './waiting_request';

/** Refuses a pool's requests and says why. */
export interface RequestRefuser {
  refuse(waiting: WaitingRequest, refusal: Refusal): void;
  /** Refuses a request whose deadline passed while it waited. */
  refuseOverdue(waiting: WaitingRequest): void;
  /** Refuses a request whose time left is shorter than a run, in ms. */
  refuseDoomed(waiting: WaitingRequest, runMs: number): void;
}

/**
 * Creates the refuser of one pool.
 *
 * @param telemetry counts and explains each refusal
 * @param pool name of the pool
 */
export function createRequestRefuser(
  telemetry: Telemetry,
  pool: string,
): RequestRefuser {
  function refuse(waiting: WaitingRequest, refusal: Refusal): void {
    const {request} = waiting;
    telemetry.refused(request.service, refusal.reason);
    telemetry.decide({
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
    refuseOverdue: waiting =>
      refuse(waiting, {
        reason: RefusalReason.DeadlinePassed,
        outcome: outcomeOfWaiting(waiting),
        detail: 'no slot came free before the deadline',
      }),
    refuseDoomed: (waiting, runMs) =>
      refuse(waiting, {
        reason: RefusalReason.DeadlineUnreachable,
        outcome: outcomeOfWaiting(waiting),
        detail: 'the time left is shorter than a run',
        retryAfterMs: Math.ceil(runMs),
      }),
  };
}

/** A request that waits may have been run by an earlier attempt. */
function outcomeOfWaiting({mayHaveRun}: WaitingRequest): Outcome {
  return mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}
