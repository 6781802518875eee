/**
 * Claims of idempotency keys: at most one run per key across all entry hosts.
 */
export * from './claimed_requests';
export * from './claims';
export * from './single_use_workers';
