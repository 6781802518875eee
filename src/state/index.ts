/**
 * Observable values, local copies of the store's content, confirmed writes and
 * timing helpers.
 */
export * from './absence_tracker';
export * from './backoff';
export * from './rate_limiter';
export * from './change_log';
export * from './delay';
export * from './mirror';
export * from './mirror_entry';
export * from './adaptive_timeout';
export * from './observable_value';
export * from './run_in_background';
export * from './stopwatch';
export * from './unix_clock';
export * from './wait_until';
export * from './write';
export * from './write_outcome';
