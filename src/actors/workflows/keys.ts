/** Prefix of the accepted workflows; written once each. */
export const WORK_PREFIX = 'work/';
/** Prefix of what every entry host follows: leader, states and cancellations. */
export const LIVE_PREFIX = 'live/';
/** Key of the leader, under its lease. */
export const LEADER_KEY = `${LIVE_PREFIX}leader`;
/** Prefix of the states of workflows. */
export const STATE_PREFIX = `${LIVE_PREFIX}state/`;
/** Prefix of the progress of workflows, which only the next leader reads. */
export const PROGRESS_PREFIX = 'progress/';
/** Prefix of the requests to cancel. */
export const CANCEL_PREFIX = `${LIVE_PREFIX}cancel/`;
/** Key that each write of the leader replaces, so that a late one fails. */
export const LEDGER_KEY = 'ledger/last';
/** Key of what the leader tells of its pools' load. */
export const LOAD_KEY = `${LIVE_PREFIX}load`;

/** Key of the machines that were ordered lately, written before each order. */
export const MACHINE_ORDERS_KEY = 'machines/orders';

/** Returns the key of an accepted workflow. */
export function getWorkKey(id: string): string {
  return `${WORK_PREFIX}${id}`;
}

/** Returns the key of a workflow's state. */
export function getStateKey(id: string): string {
  return `${STATE_PREFIX}${id}`;
}

/** Returns the key of a workflow's progress. */
export function getProgressKey(id: string): string {
  return `${PROGRESS_PREFIX}${id}`;
}

/** Returns the key of a request to cancel a workflow. */
export function getCancelKey(id: string): string {
  return `${CANCEL_PREFIX}${id}`;
}

/** Returns the key of the machines that were serviced for a wave. */
export function getWaveKey(number: number): string {
  return `waves/${number}`;
}
