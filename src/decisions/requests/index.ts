/** Decisions about interactive requests. */
export * from './retry_decision';
export * from './slot_policy';
export * from './static_split';
