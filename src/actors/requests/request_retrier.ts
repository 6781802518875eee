import {RetryBudget, createRetryBudget} from '../../decisions/requests';
import {Telemetry} from '../../telemetry';
import {DecisionKind, Host, RetryReason} from '../../types';
import {RequestQueue} from './request_queue';
import {WaitingRequest} from './waiting_request';

/** Sends failed requests of a pool back to its queue, within the services' budgets. */
export interface RequestRetrier {
  /** Adds a success to a service's retry budget. */
  noteSuccess(service: string): void;
  /** Takes a retry from the budget, if the request may be run again. */
  takeRerun(waiting: WaitingRequest): boolean;
  /** Tells whether a failed request may be sent again, and takes from the budget if it may have run. */
  takeRetry(waiting: WaitingRequest, ran: boolean): boolean;
  /** Puts a request back into the queue. */
  retry(
    waiting: WaitingRequest,
    host: Host,
    reason: RetryReason,
    ran: boolean,
  ): void;
}

/** Attempts of which each may have been run. */
export const MAX_ATTEMPTS = 3;

/** Attempts in all, with those that a worker refused. */
const MAX_REFUSED_ATTEMPTS = 20;

/**
 * Creates the retrier of one pool.
 *
 * @param telemetry counts and explains each retry
 * @param pool name of the pool
 * @param queue the pool's queue
 */
export function createRequestRetrier(
  telemetry: Telemetry,
  pool: string,
  queue: RequestQueue,
): RequestRetrier {
  const budgets = new Map<string, RetryBudget>();

  function takeRerun(waiting: WaitingRequest): boolean {
    return mayRerun(waiting) && getBudget(waiting.request.service).take();
  }

  function retry(
    waiting: WaitingRequest,
    host: Host,
    reason: RetryReason,
    ran: boolean,
  ): void {
    const {request} = waiting;
    telemetry.retried(request.service, reason);
    telemetry.decide({
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
    noteSuccess: service => getBudget(service).succeed(),
    takeRerun,
    takeRetry(waiting, ran) {
      if (!ran) return waiting.attempts + 1 < MAX_REFUSED_ATTEMPTS;
      return takeRerun(waiting);
    },
    retry,
  };
}

function mayRerun({idempotent, attempts}: WaitingRequest): boolean {
  return idempotent && attempts + 1 < MAX_ATTEMPTS;
}
