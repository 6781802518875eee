/**
 * Decisions about claims of idempotency keys, which ensure at most one run per
 * key.
 */
export * from './claim_event';
export * from './claim_event_kind';
export * from './claim_reply';
export * from './claim_request';
export * from './claim_verdict';
export * from './commit_token_bucket';
export * from './finish_reply';
export * from './finish_request';
export * from './generation';
export * from './identify_request';
export * from './evaluate_claim';
export * from './next_generation';
export * from './recorded_answer';
export * from './take_batch';
export * from './claim_record';
export * from './apply_event';
