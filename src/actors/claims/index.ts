/** Claims of idempotency keys: at most one run per key, through any entry host. */
export * from './claimed_requests';
export * from './claims';
export * from './single_use_workers';
