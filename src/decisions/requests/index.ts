/** Decisions about interactive requests. */
export * from './admission';
export * from './choose_group';
export * from './choose_worker';
export * from './outlier';
export * from './retry_budget';
export * from './retry_decision';
export * from './grant_all_slots';
export * from './slot_policy';
export * from './slot_policy_kind';
export * from './slot_need';
export * from './static_split';
export * from './worker_candidate';
