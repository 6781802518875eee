/**
 * Checks of recorded histories of concurrent requests: at-most-once execution,
 * outcomes and answers.
 */
export * from './check_requests';
export * from './request_answer';
export * from './request_attempt';
export * from './request_history';
export * from './request_run';
export * from './request_violation';
export * from './request_violation_kind';
