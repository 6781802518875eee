/**
 * Interfaces to external systems: the store, the host list, the workers and the
 * other members.
 */
export * from './host_list';
export * from './peer_failure';
export * from './peer_handler';
export * from './peer_method';
export * from './peers';
export * from './pool_fence';
export * from './store';
export * from './store_change';
export * from './store_changes';
export * from './store_entry';
export * from './store_failure';
export * from './store_listing';
export * from './store_put';
export * from './swap';
export * from './swap_result';
export * from './attempt_id';
export * from './task_order';
export * from './task_report';
export * from './task_start';
export * from './task_state';
export * from './transaction';
export * from './transaction_result';
export * from './worker_failure';
export * from './worker_report';
export * from './worker_request';
export * from './worker_response';
export * from './workers';
