import {RetryBudget, createRetryBudget} from '../../decisions/requests';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Host, RetryReason} from '../../types';
import {RequestQueue} from './request_queue';
import {WaitingRequest} from './waiting_request';

/**
 * Requeues failed requests of a pool within the retry budgets of their
 * services.
 */
export interface RequestRetrier {
  /** Credits a success to the retry budget of a service. */
  recordSuccess(service: string): void;
  /**
   * Returns whether the request may be run again, and debits the retry budget
   * if so.
   */
  tryTakeRerun(waiting: WaitingRequest): boolean;
  /**
   * Returns whether a failed request may be sent again.
   *
   * Debits the retry budget only if the failed attempt may have run.
   */
  tryTakeRetry(waiting: WaitingRequest, ran: boolean): boolean;
  /** Puts a request back into the queue for its next attempt. */
  retry(
    waiting: WaitingRequest,
    host: Host,
    reason: RetryReason,
    ran: boolean,
  ): void;
}

/**
 * Maximum number of attempts, refused ones included, if the last one may have
 * run.
 */
export const MAX_ATTEMPTS = 3;

/**
 * Maximum number of attempts if the last one certainly did not run.
 */
const MAX_TOTAL_ATTEMPTS = 20;

/**
 * Creates the retrier of one pool.
 *
 * @param telemetry counts and logs each retry
 * @param pool name of the pool
 * @param queue the pool's queue
 */
export function createRequestRetrier(
  telemetry: Telemetry,
  pool: string,
  queue: RequestQueue,
): RequestRetrier {
  const budgets = new Map<string, RetryBudget>();

  function tryTakeRerun(waiting: WaitingRequest): boolean {
    return mayRerun(waiting) && getBudget(waiting.request.service).tryTake();
  }

  function retry(
    waiting: WaitingRequest,
    host: Host,
    reason: RetryReason,
    ran: boolean,
  ): void {
    const {request} = waiting;
    telemetry.countRetry(request.service, reason);
    telemetry.recordDecision({
      kind: DecisionKind.Retry,
      subject: request.id,
      pool,
      cause: `${host.id}: ${reason}`,
      inputs: {attempts: waiting.attempts + 1, mayHaveRun: ran},
    });
    const busy = reason === RetryReason.WorkerBusy;
    queue.add({
      ...waiting,
      attempts: waiting.attempts + 1,
      mayHaveRun: waiting.mayHaveRun || ran,
      freshConnection: waiting.freshConnection || ran,
      triedHosts: busy ? waiting.triedHosts : [...waiting.triedHosts, host.id],
      triedRacks: busy
        ? waiting.triedRacks
        : [...waiting.triedRacks, host.rack],
    });
  }

  function getBudget(service: string): RetryBudget {
    const known = budgets.get(service);
    if (known) return known;
    const created = createRetryBudget();
    budgets.set(service, created);
    return created;
  }

  return {
    recordSuccess: service => getBudget(service).recordSuccess(),
    tryTakeRerun,
    tryTakeRetry(waiting, ran) {
      if (!ran) return waiting.attempts + 1 < MAX_TOTAL_ATTEMPTS;
      return tryTakeRerun(waiting);
    },
    retry,
  };
}

function mayRerun({idempotent, attempts}: WaitingRequest): boolean {
  return idempotent && attempts + 1 < MAX_ATTEMPTS;
}
