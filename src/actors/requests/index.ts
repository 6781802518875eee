/** Queueing, dispatch and retry of interactive requests at one entry host. */
export * from './answer';
export * from './create_slot_sharing';
export * from './interactive_request';
export * from './pool_hosts_cache';
export * from './pool_requests_actor';
export * from './refusal';
export * from './requests';
export * from './slot_sharing';
