/**
 * Interfaces to the hosts that run tasks, to the machines and to the advice
 * service.
 */
export * from './hold_report';
export * from './hold_request';
export * from './host_address';
export * from './host_answer';
export * from './host_call_failure';
export * from './host_connection';
export * from './machines';
export * from './placement_advisor';
export * from './run_order';
export * from './start_order';
export * from './task_hosts';
