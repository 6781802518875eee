/** Observable values, local copies of the store's content, confirmed writes and timing helpers. */
export * from './backoff';
export * from './call_budget';
export * from './change_log';
export * from './delay';
export * from './mirror';
export * from './mirror_entry';
export * from './patience';
export * from './snapshot';
export * from './write';
export * from './write_outcome';
