/**
 * Reasons for refusing a request; every refusal is counted under one of them.
 */
export enum RefusalReason {
  UnknownService = 'unknown-service',
  QueueFull = 'queue-full',
  DeadlineUnreachable = 'deadline-unreachable',
  DeadlinePassed = 'deadline-passed',
  TeamQuota = 'team-quota',
  NoWorker = 'no-worker',
  NoConfiguration = 'no-configuration',
  ClaimUnavailable = 'claim-unavailable',
  AlreadyClaimed = 'already-claimed',
  RetriesExhausted = 'retries-exhausted',
  BadRequest = 'bad-request',
  BodyTooLarge = 'body-too-large',
  Stopping = 'stopping',
  StoreUnavailable = 'store-unavailable',
  Unsatisfiable = 'unsatisfiable',
  BudgetSpent = 'budget-spent',
  Conflict = 'conflict',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  OutcomeUnknown = 'outcome-unknown',
}
