import {createHash} from 'node:crypto';

/** Prefix of accepted workflows; each is written once. */
export const WORK_PREFIX = 'work/';
/** Key of the elected leader, bound to its lease. */
export const LEADER_KEY = 'live/leader';
/** Key of the load report that the leader publishes for its pools. */
export const LOAD_KEY = 'live/load';
/**
 * Common prefix of the leader and the load, which every entry host watches with
 * one call. Nothing else is under it, so it does not grow with the workflows.
 */
export const WATCHED_PREFIX = 'live/l';
/** Prefix of workflow states. */
export const STATE_PREFIX = 'live/state/';
/** Prefix of workflow progress, which only a new leader reads. */
export const PROGRESS_PREFIX = 'progress/';
/** Prefix of cancellation requests, which the leader watches. */
export const CANCEL_PREFIX = 'live/cancel/';
/**
 * Prefix of the withdrawals of ids that were cancelled while no workflow was
 * stored; nobody watches it.
 */
export const WITHDRAWAL_PREFIX = 'withdrawn/';
/**
 * Key that each ledger write of the leader replaces, so that a delayed write
 * fails its condition.
 */
export const LEDGER_KEY = 'ledger/last';
/** Key of the machines with recent orders, written before each order. */
export const MACHINE_ORDERS_KEY = 'machines/orders';

/** Hexadecimal digits of a scope's hash. */
const SCOPE_HASH_LENGTH = 16;

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

/** Returns the key of a workflow's cancellation request. */
export function getCancelKey(id: string): string {
  return `${CANCEL_PREFIX}${id}`;
}

/**
 * Returns the key of a withdrawal. The scope is hashed, as the names of queues
 * and organisations may be longer than a key.
 */
export function getWithdrawalKey(id: string, scope: string): string {
  const hash = createHash('sha256').update(scope).digest('hex');
  return `${WITHDRAWAL_PREFIX}${id}/${hash.slice(0, SCOPE_HASH_LENGTH)}`;
}

/** Returns the key of a maintenance wave's progress. */
export function getWaveKey(number: number): string {
  return `waves/${number}`;
}
